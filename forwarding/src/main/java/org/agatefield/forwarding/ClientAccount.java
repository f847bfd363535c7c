package org.agatefield.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account of the operator's configuration. Immutable.
 *
 * @param name the name that runners are told
 * @param keys digests of the keys that identify it
 * @param priority its requests' rank, which goes before that of their route; 0 is the most urgent
 * @param quota what it may ask for; empty for an account without a limit
 */
public record ClientAccount(
    String name, Set<KeyDigest> keys, OptionalInt priority, Optional<TokenQuota> quota) {
  /** Copies the set. */
  public ClientAccount {
    keys = Set.copyOf(keys);
  }
}
