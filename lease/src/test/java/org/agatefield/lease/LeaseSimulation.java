package org.agatefield.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates processes with drifting clocks that compete for one lease, in a store whose writes are
 * delayed and whose responses are lost. Confined to one thread; the same seed gives the same run.
 */
final class LeaseSimulation {
  /** Faults of the protocol, each of which must cause violations. */
  enum Fault {
    NONE,
    TRUST_FROM_ANSWER,
    CHALLENGE_WITHOUT_WAITING,
    CHALLENGE_AFTER_HALF,
    IGNORE_CLOCK_DRIFT,
    KEEP_TOKEN,
    IGNORE_ERA
  }

  /** The lease with its version, which is unique only within an era of the store. Immutable. */
  record Versioned(long version, LeaseRecord lease) {}

  private record Copy(Optional<Versioned> lease, long version) {}

  /** A grant in real time. Immutable. */
  record RealGrant(int process, long token, double from, double until) {}

  private static final int STEPS = 600;
  private static final double RESTORE_SHARE = 0.02;
  private static final double MAXIMUM_STEP_NANOSECONDS = 4_000_000;

  final Random random;
  final Fault fault;
  final double faultShare;
  final List<RealGrant> grants = new ArrayList<>();
  double realNanoseconds;
  private final List<Runnable> wire = new ArrayList<>();
  private final List<SimulatedHolder> holders = new ArrayList<>();
  private final List<Copy> copies = new ArrayList<>();
  private final boolean restores;
  private Optional<Versioned> current = Optional.empty();
  private long lastVersion;
  private long era;
  private int processes;

  LeaseSimulation(long seed, double faultShare, Fault fault) {
    this(seed, faultShare, fault, false);
  }

  /**
   * Creates a simulation.
   *
   * @param restores whether the store comes back from older copies, each time in a new era
   */
  LeaseSimulation(long seed, double faultShare, Fault fault, boolean restores) {
    this.random = new Random(seed);
    this.restores = restores;
    this.era = restores ? 1 : 0;
    this.faultShare = faultShare;
    this.fault = fault;
  }

  List<RealGrant> run(int contenders) {
    for (int index = 0; index < contenders; index++) {
      holders.add(new SimulatedHolder(this, processes++));
    }
    for (int step = 0; step < STEPS; step++) {
      realNanoseconds += random.nextDouble() * MAXIMUM_STEP_NANOSECONDS;
      if (!wire.isEmpty() && random.nextBoolean()) {
        wire.remove(random.nextInt(wire.size())).run();
        continue;
      }
      if (restores && chance(RESTORE_SHARE)) {
        restore();
        continue;
      }
      int chosen = random.nextInt(holders.size());
      if (chance(faultShare / 20)) {
        holders.set(chosen, new SimulatedHolder(this, processes++));
      } else {
        holders.get(chosen).step();
      }
    }
    return grants;
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  void onWire(Runnable action) {
    wire.add(action);
  }

  Optional<Versioned> read() {
    return current;
  }

  long era() {
    return era;
  }

  /** Comes back from a random copy; versions are given out again from there. */
  private void restore() {
    Copy copy = copies.isEmpty() ? new Copy(Optional.empty(), 0) : chosenCopy();
    current = copy.lease();
    lastVersion = copy.version();
    era++;
  }

  private Copy chosenCopy() {
    int kept = 1 + random.nextInt(copies.size());
    copies.subList(kept, copies.size()).clear();
    return copies.get(kept - 1);
  }

  /** Writes if the lease still has the expected version; 0 means that it must not exist. */
  boolean write(long expectedVersion, LeaseRecord lease) {
    if (current.map(Versioned::version).orElse(0L) != expectedVersion) {
      return false;
    }
    copies.add(new Copy(current, lastVersion));
    lastVersion++;
    current = Optional.of(new Versioned(lastVersion, lease));
    return true;
  }

  long version() {
    return current.map(Versioned::version).orElse(0L);
  }
}
