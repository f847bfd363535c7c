package org.agatefield.lease;

import java.util.Optional;
import org.agatefield.lease.SimulatedLeaseWorld.Fault;

/** One process that contends for the lease, with a clock of its own. Used from one thread. */
final class SimulatedHolder {
  private static final long DURATION = 100_000_000;
  private static final long RENEWAL = 25_000_000;
  private static final long DRIFT_PER_MILLION = 10_000;
  private static final double LARGEST_RATE_ERROR = 0.0099;

  private final SimulatedLeaseWorld world;
  private final int process;
  private final double clockRate;
  private final long clockStart;
  private final LeaseProtocol protocol;
  private LeaseState state = LeaseState.unknown();
  private boolean waiting;
  private boolean mustRead = true;

  SimulatedHolder(SimulatedLeaseWorld world, int process) {
    this.world = world;
    this.process = process;
    double error = (world.random.nextDouble() * 2 - 1) * LARGEST_RATE_ERROR;
    this.clockRate = 1 + error / 2;
    this.clockStart = world.random.nextInt();
    long drift = world.fault == Fault.IGNORE_CLOCK_DRIFT ? 0 : DRIFT_PER_MILLION;
    this.protocol = new LeaseProtocol("p" + process, new LeaseTerms(DURATION, RENEWAL, drift));
  }

  /** Takes the next step, unless an answer is awaited. */
  void step() {
    if (waiting) {
      return;
    }
    if (mustRead) {
      read();
    } else {
      act();
    }
  }

  private void read() {
    waiting = true;
    world.onWire(
        () -> {
          Optional<SimulatedLeaseWorld.Versioned> found = world.read();
          world.onWire(() -> readCompleted(found));
        });
  }

  private void readCompleted(Optional<SimulatedLeaseWorld.Versioned> found) {
    waiting = false;
    mustRead = false;
    state =
        found
            .map(seen -> protocol.observe(state, "" + seen.version(), seen.lease(), clock()))
            .orElseGet(() -> protocol.observeAbsent(state));
  }

  private void act() {
    LeaseDecision decision = decide();
    if (decision instanceof LeaseDecision.Wait) {
      mustRead = true;
      return;
    }
    waiting = true;
    final long sentAt = clock();
    long expected =
        decision instanceof LeaseDecision.Update update
            ? Long.parseLong(update.expectedVersion())
            : 0;
    LeaseRecord lease =
        decision instanceof LeaseDecision.Update update
            ? update.lease()
            : ((LeaseDecision.Create) decision).lease();
    world.onWire(() -> write(expected, lease, sentAt));
  }

  private LeaseDecision decide() {
    LeaseDecision decision = protocol.decide(state, clock());
    if (state.observed().isEmpty()) {
      return decision;
    }
    LeaseState.Observation seen = state.observed().get();
    long waited = clock() - seen.unchangedSinceNanoseconds();
    boolean half = world.fault == Fault.CHALLENGE_AFTER_HALF && waited > DURATION / 2;
    if (decision instanceof LeaseDecision.Wait
        && (half || world.fault == Fault.CHALLENGE_WITHOUT_WAITING)) {
      long token = seen.lease().fencingToken() + 1;
      return new LeaseDecision.Update(
          seen.version(), new LeaseRecord("p" + process, token, DURATION));
    }
    if (decision instanceof LeaseDecision.Update update && world.fault == Fault.KEEP_TOKEN) {
      return new LeaseDecision.Update(
          seen.version(), new LeaseRecord("p" + process, seen.lease().fencingToken(), DURATION));
    }
    return decision;
  }

  private void write(long expected, LeaseRecord lease, long sentAt) {
    if (world.chance(world.faultShare)) {
      if (world.random.nextBoolean()) {
        world.onWire(() -> world.write(expected, lease));
      } else {
        world.write(expected, lease);
      }
      world.onWire(this::unknown);
      return;
    }
    boolean held = world.write(expected, lease);
    long version = world.version();
    world.onWire(() -> written(held, lease, version, sentAt));
  }

  private void unknown() {
    waiting = false;
    mustRead = true;
  }

  private void written(boolean held, LeaseRecord lease, long version, long sentAt) {
    waiting = false;
    if (!held) {
      mustRead = true;
      return;
    }
    long from = world.fault == Fault.TRUST_FROM_ANSWER ? clock() : sentAt;
    state = protocol.recordWrite(lease, "" + version, from, clock());
    LeaseGrant grant = state.grant().orElseThrow();
    double until = real(grant.validUntilNanoseconds());
    if (until > world.realNanoseconds) {
      world.grants.add(
          new SimulatedLeaseWorld.RealGrant(
              process, grant.fencingToken(), world.realNanoseconds, until));
    }
  }

  private long clock() {
    return clockStart + (long) (world.realNanoseconds * clockRate);
  }

  private double real(long clockNanoseconds) {
    return (clockNanoseconds - clockStart) / clockRate;
  }
}
