package org.agatefield.daemon.placing;

import java.util.Optional;
import org.agatefield.placement.RunnerObservation;

/** Tracks one runner while this instance is the planner. Confined to the planner's context. */
final class RunnerState {
  private Optional<RunnerObservation> observation = Optional.empty();
  private long reportedAtNanoseconds = Long.MIN_VALUE;
  private long lastOrderEndedNanoseconds = Long.MIN_VALUE;
  private boolean polling;
  private boolean busy;

  boolean startPoll() {
    boolean started = !polling;
    polling = true;
    return started;
  }

  void endPoll() {
    polling = false;
  }

  void observe(RunnerObservation latest, long nowNanoseconds) {
    observation = Optional.of(latest);
    reportedAtNanoseconds = nowNanoseconds;
  }

  Optional<RunnerObservation> observation() {
    return observation;
  }

  boolean isAlive(long nowNanoseconds, long reportLifetimeNanoseconds) {
    return observation.isPresent()
        && nowNanoseconds - reportedAtNanoseconds <= reportLifetimeNanoseconds;
  }

  /** Returns the observation if it was requested after the last order to the runner had ended. */
  Optional<RunnerObservation> freshObservation() {
    return observation.filter(
        each ->
            lastOrderEndedNanoseconds == Long.MIN_VALUE
                || each.askedAtNanoseconds() - lastOrderEndedNanoseconds > 0);
  }

  boolean isBusy() {
    return busy;
  }

  void begin() {
    busy = true;
  }

  void end() {
    busy = false;
  }

  void orderEnded(long nowNanoseconds) {
    lastOrderEndedNanoseconds = nowNanoseconds;
  }
}
