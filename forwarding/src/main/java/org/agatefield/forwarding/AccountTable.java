package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one version of the configuration, indexed by key.
 *
 * <p>Immutable and thread safe.
 */
public final class AccountTable {
  /** The table of a configuration without accounts: requests need no key. */
  public static final AccountTable NONE = new AccountTable(List.of());

  private final List<ClientAccount> accounts;
  private final Map<KeyDigest, ClientAccount> byKey = new HashMap<>();

  /** Builds the table; if two accounts list the same key, it belongs to the later one. */
  public AccountTable(List<ClientAccount> accounts) {
    this.accounts = List.copyOf(accounts);
    for (ClientAccount account : accounts) {
      account.keys().forEach(key -> byKey.put(key, account));
    }
  }

  /** Returns all accounts. */
  public List<ClientAccount> accounts() {
    return accounts;
  }

  /** Returns whether requests have to present the key of an account. */
  public boolean requiresKeys() {
    return !accounts.isEmpty();
  }

  /** Returns the account that a key belongs to. */
  public Optional<ClientAccount> accountFor(KeyDigest key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
