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
          long era = simulation.era();
          simulation.onWire(() -> onReadCompleted(found, era));
        });
  }

  private void onReadCompleted(Optional<LeaseSimulation.Versioned> found, long era) {
    waiting = false;
    mustRead = false;
    state =
        found
            .map(
                observed ->
                    protocol.observe(
                        state, version(observed.version(), era), observed.lease(), clock()))
            .orElseGet(() -> protocol.observeAbsent(state, visible(era), clock()));
  }

  private LeaseVersion version(long number, long era) {
    long visible = visible(era);
    return new LeaseVersion(visible + "/" + number, visible, visible == 0 ? 0 : number);
  }

  private long visible(long era) {
    return simulation.fault == Fault.IGNORE_ERA ? 0 : era;
  }

  private static long number(LeaseVersion version) {
    String text = version.text();
    return Long.parseLong(text.substring(text.indexOf('/') + 1));
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
        decision instanceof LeaseDecision.Update update ? number(update.expectedVersion()) : 0;
    LeaseRecord lease =
        decision instanceof LeaseDecision.Update update
            ? update.lease()
            : ((LeaseDecision.Create) decision).lease();
    simulation.onWire(() -> write(expected, lease, sentAt));
  }

  private LeaseDecision decide() {
    LeaseDecision decision = protocol.decide(state, clock());
    if (state.observed().flatMap(LeaseState.Observation::lease).isEmpty()) {
      return decision;
    }
    LeaseState.Observation observed = state.observed().get();
    LeaseRecord lease = observed.lease().orElseThrow();
    long waited = clock() - observed.unchangedSinceNanoseconds();
    boolean half = simulation.fault == Fault.CHALLENGE_AFTER_HALF && waited > DURATION / 2;
    if (decision instanceof LeaseDecision.Wait
        && (half || simulation.fault == Fault.CHALLENGE_WITHOUT_WAITING)) {
      long token = lease.fencingToken() + 1;
      return new LeaseDecision.Update(
          observed.version(), new LeaseRecord("p" + process, token, DURATION));
    }
    if (decision instanceof LeaseDecision.Update update && simulation.fault == Fault.KEEP_TOKEN) {
      return new LeaseDecision.Update(
          observed.version(), new LeaseRecord("p" + process, lease.fencingToken(), DURATION));
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
    LeaseVersion version = version(simulation.version(), simulation.era());
    simulation.onWire(() -> onWritten(held, lease, version, sentAt));
  }

  private void onWriteUnknown() {
    waiting = false;
    mustRead = true;
  }

  private void onWritten(boolean held, LeaseRecord lease, LeaseVersion version, long sentAt) {
    waiting = false;
    if (!held) {
      mustRead = true;
      return;
    }
    long from = simulation.fault == Fault.TRUST_FROM_ANSWER ? clock() : sentAt;
    boolean granted = lease.fencingToken() >= version.firstToken();
    state = protocol.recordWrite(state, lease, version, from, clock());
    if (!granted) {
      mustRead = true;
      return;
    }
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
