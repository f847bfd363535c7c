package org.agatefield.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account of the operator's configuration. Immutable.
 *
 * @param name the name that is passed on to runners
 * @param keys digests of the keys that identify the account
 * @param priority the priority of its requests, which overrides that of their route; 0 is the most
 *     urgent
 * @param quota the quota; empty for an account without a limit
 */
public record ClientAccount(
    String name, Set<KeyDigest> keys, OptionalInt priority, Optional<TokenQuota> quota) {
  /** Copies the set. */
  public ClientAccount {
    keys = Set.copyOf(keys);
  }
}
