package org.agatefield.forwarding;

/**
 * Sends a request only to a runner that can begin it in time, and refuses what none can.
 *
 * <p>Answers the load pattern of a model that is asked for faster than its runners read: a runner
 * that gets everything finishes nothing before its deadline, while one that gets what it can read
 * in time finishes all of that. What is held back can still go to a replica that is being made.
 * Stateless and safe for use by any thread.
 */
public final class BeginInTime implements SendPolicy {
  private static final double OBJECTIVES = 1.0;
  private static final double SHARE_OF_REMAINING = 0.5; // the rest is for the answer itself
  private static final double HOPELESS_SHARE_OF_REMAINING = 1.0;

  @Override
  public Decision decide(
      RunnerCandidate candidate, long objectiveMilliseconds, long remainingMilliseconds) {
    double begin = candidate.readingMilliseconds();
    double limit =
        Math.max(
            Math.min(OBJECTIVES * objectiveMilliseconds, remainingMilliseconds),
            SHARE_OF_REMAINING * remainingMilliseconds);
    if (begin <= limit) {
      return Decision.SEND;
    }
    boolean hopeless = begin > HOPELESS_SHARE_OF_REMAINING * remainingMilliseconds;
    return hopeless ? Decision.REFUSE : Decision.WAIT;
  }
}
