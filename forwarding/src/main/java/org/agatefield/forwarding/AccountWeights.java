package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The weights of client accounts: what each is owed a second by its quota, in tokens. An account
 * without a quota weighs as much as the mean of the others.
 *
 * <p>Immutable and thread safe.
 */
public final class AccountWeights {
  /** The name under which requests without an account share one. */
  public static final String NO_ACCOUNT = "";

  private final Map<String, Integer> weights = new HashMap<>();
  private final int usual;

  /** Computes the weights of the accounts of a configuration. */
  public AccountWeights(AccountTable accounts) {
    for (ClientAccount account : accounts.accounts()) {
      account.quota().ifPresent(quota -> weights.put(account.name(), weight(quota)));
    }
    OptionalDouble mean = weights.values().stream().mapToInt(Integer::intValue).average();
    usual = mean.isPresent() ? (int) Math.max(1, mean.getAsDouble()) : 1;
  }

  /** Returns the weight of an account, above 0. */
  public int of(Optional<ClientAccount> account) {
    return account.map(each -> weights.getOrDefault(each.name(), usual)).orElse(usual);
  }

  private static int weight(TokenQuota quota) {
    double perSecond =
        quota.unit() == TokenQuota.Unit.TOKENS
            ? quota.perSecond()
            : quota.perSecond() * Math.max(1, quota.plainTokens());
    return (int) Math.max(1, Math.min(Integer.MAX_VALUE, perSecond));
  }
}
