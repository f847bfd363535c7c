package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.agatefield.admission.RecentUsage;
import org.agatefield.knowledge.AccountUsage;
import org.agatefield.knowledge.KnowledgeTable;

/**
 * Shares the recent usage of client accounts with other instances, so that an account's turn comes
 * by what it was given by all of them.
 *
 * <p>Invariant: requests without an account are not shared, so that a configuration without
 * accounts sends nothing. Not thread safe.
 */
public final class AccountUsageSharing {
  /** The kind of what is shared. */
  public static final AccountUsage.Kind KIND =
      new AccountUsage.Kind(RecentUsage.TIME_CONSTANT_MILLISECONDS);

  // Smaller changes hardly move an account's turn.
  private static final double SIGNIFICANT_CHANGE = 0.1;

  private final KnowledgeTable<AccountUsage> table;
  private final RecentUsage usage = new RecentUsage(this::elsewhere);
  private final Map<String, Double> published = new HashMap<>();

  /** Creates an empty record; {@code table} has what is shared with other instances. */
  public AccountUsageSharing(KnowledgeTable<AccountUsage> table) {
    this.table = table;
  }

  /** Returns the usage of all instances. */
  public RecentUsage usage() {
    return usage;
  }

  private double elsewhere(String account, long nowMilliseconds) {
    return table
        .knownElsewhere(account, nowMilliseconds)
        .map(observed -> KIND.costAt(observed, nowMilliseconds))
        .orElse(0.0);
  }

  /** Publishes what this instance has given to accounts since the last time. */
  public void publish(long nowMilliseconds) {
    Map<String, Double> own = usage.own(nowMilliseconds);
    own.remove(AccountWeights.NO_ACCOUNT);
    published.keySet().retainAll(own.keySet());
    own.forEach(
        (account, cost) -> {
          double last = published.getOrDefault(account, 0.0);
          if (Math.abs(cost - last) > SIGNIFICANT_CHANGE * Math.max(cost, last)) {
            published.put(account, cost);
            table.observe(account, new AccountUsage(cost), nowMilliseconds);
          }
        });
  }
}
