package org.agatefield.idempotency;

import java.util.Optional;

/** A store of one claim with conditional writes. Confined to one thread. */
final class SimulatedClaimStore {
  /** A claim with its version. Immutable. */
  record Versioned(long version, Claim<String> claim) {}

  private Optional<Versioned> current = Optional.empty();
  private long lastVersion;

  Optional<Versioned> read() {
    return current;
  }

  /** Creates the claim; returns whether there was none. */
  boolean create(Claim<String> claim) {
    if (current.isPresent()) {
      return false;
    }
    put(claim);
    return true;
  }

  /** Replaces the claim; returns whether it had the expected version. */
  boolean update(long expectedVersion, Claim<String> claim) {
    if (!has(expectedVersion)) {
      return false;
    }
    put(claim);
    return true;
  }

  /** Deletes the claim; returns whether it had the expected version. */
  boolean delete(long expectedVersion) {
    if (!has(expectedVersion)) {
      return false;
    }
    current = Optional.empty();
    return true;
  }

  private boolean has(long expectedVersion) {
    return current.filter(found -> found.version() == expectedVersion).isPresent();
  }

  private void put(Claim<String> claim) {
    lastVersion++;
    current = Optional.of(new Versioned(lastVersion, claim));
  }
}
