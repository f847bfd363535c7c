package org.agatefield.lease;

import java.util.Optional;
import org.agatefield.lease.LeaseSimulation.Fault;

/** A process that competes for the lease, with its own clock. Confined to one thread. */
final class SimulatedHolder {
  private static final long DURATION = 100_000_000;
  private static final long RENEWAL = 25_000_000;
  private static final long DRIFT_PER_MILLION = 10_000;
  private static final double MAXIMUM_RATE_ERROR = 0.0099;

  private final LeaseSimulation simulation;
  private final int process;
  private final double clockRate;
  private final long clockStart;
  private final LeaseProtocol protocol;
  private LeaseState state = LeaseState.unknown();
  private boolean waiting;
  private boolean mustRead = true;

  SimulatedHolder(LeaseSimulation simulation, int process) {
    this.simulation = simulation;
    this.process = process;
    double error = (simulation.random.nextDouble() * 2 - 1) * MAXIMUM_RATE_ERROR;
    this.clockRate = 1 + error / 2;
    this.clockStart = simulation.random.nextInt();
    long drift = simulation.fault == Fault.IGNORE_CLOCK_DRIFT ? 0 : DRIFT_PER_MILLION;
    this.protocol = new LeaseProtocol("p" + process, new LeaseTerms(DURATION, RENEWAL, drift));
  }

  /** Executes the next step unless a response is pending. */
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
    simulation.onWire(
        () -> {
          Optional<LeaseSimulation.Versioned> found = simulation.read();
          simulation.onWire(() -> onReadCompleted(found));
        });
  }

  private void onReadCompleted(Optional<LeaseSimulation.Versioned> found) {
    waiting = false;
    mustRead = false;
    state =
        found
            .map(
                observed ->
                    protocol.observe(state, "" + observed.version(), observed.lease(), clock()))
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
    simulation.onWire(() -> write(expected, lease, sentAt));
  }

  private LeaseDecision decide() {
    LeaseDecision decision = protocol.decide(state, clock());
    if (state.observed().isEmpty()) {
      return decision;
    }
    LeaseState.Observation observed = state.observed().get();
    long waited = clock() - observed.unchangedSinceNanoseconds();
    boolean half = simulation.fault == Fault.CHALLENGE_AFTER_HALF && waited > DURATION / 2;
    if (decision instanceof LeaseDecision.Wait
        && (half || simulation.fault == Fault.CHALLENGE_WITHOUT_WAITING)) {
      long token = observed.lease().fencingToken() + 1;
      return new LeaseDecision.Update(
          observed.version(), new LeaseRecord("p" + process, token, DURATION));
    }
    if (decision instanceof LeaseDecision.Update update && simulation.fault == Fault.KEEP_TOKEN) {
      return new LeaseDecision.Update(
          observed.version(),
          new LeaseRecord("p" + process, observed.lease().fencingToken(), DURATION));
    }
    return decision;
  }

  private void write(long expected, LeaseRecord lease, long sentAt) {
    if (simulation.chance(simulation.faultShare)) {
      if (simulation.random.nextBoolean()) {
        simulation.onWire(() -> simulation.write(expected, lease));
      } else {
        simulation.write(expected, lease);
      }
      simulation.onWire(this::onWriteUnknown);
      return;
    }
    boolean held = simulation.write(expected, lease);
    long version = simulation.version();
    simulation.onWire(() -> onWritten(held, lease, version, sentAt));
  }

  private void onWriteUnknown() {
    waiting = false;
    mustRead = true;
  }

  private void onWritten(boolean held, LeaseRecord lease, long version, long sentAt) {
    waiting = false;
    if (!held) {
      mustRead = true;
      return;
    }
    long from = simulation.fault == Fault.TRUST_FROM_ANSWER ? clock() : sentAt;
    state = protocol.recordWrite(lease, "" + version, from, clock());
    LeaseGrant grant = state.grant().orElseThrow();
    double until = toRealNanoseconds(grant.validUntilNanoseconds());
    if (until > simulation.realNanoseconds) {
      simulation.grants.add(
          new LeaseSimulation.RealGrant(
              process, grant.fencingToken(), simulation.realNanoseconds, until));
    }
  }

  private long clock() {
    return clockStart + (long) (simulation.realNanoseconds * clockRate);
  }

  private double toRealNanoseconds(long clockNanoseconds) {
    return (clockNanoseconds - clockStart) / clockRate;
  }
}
