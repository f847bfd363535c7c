package org.agatefield.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A store of one claim with conditional writes, which may come back older in a new era and give out
 * its versions again. Confined to one thread.
 */
final class SimulatedClaimStore {
  /** A claim with its version. Immutable. */
  record Versioned(long version, long era, Claim<String> claim) {}

  private record Copy(Optional<Versioned> claim, long lastVersion) {}

  private Optional<Versioned> current = Optional.empty();
  private final List<Copy> copies = new ArrayList<>(List.of(new Copy(Optional.empty(), 0)));
  private long lastVersion;
  private long era;

  long era() {
    return era;
  }

  /** Comes back without the latest writes, in a new era. */
  void restore(int lostWrites) {
    int kept = Math.max(1, copies.size() - lostWrites);
    copies.subList(kept, copies.size()).clear();
    Copy copy = copies.get(kept - 1);
    era++;
    current = copy.claim().map(found -> new Versioned(found.version(), era, found.claim()));
    lastVersion = copy.lastVersion();
  }

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
    lastVersion++;
    copies.add(new Copy(current, lastVersion));
    return true;
  }

  private boolean has(long expectedVersion) {
    return current.filter(found -> found.version() == expectedVersion).isPresent();
  }

  private void put(Claim<String> claim) {
    lastVersion++;
    current = Optional.of(new Versioned(lastVersion, era, claim));
    copies.add(new Copy(current, lastVersion));
  }
}
