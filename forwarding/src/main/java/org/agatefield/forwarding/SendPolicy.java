package org.agatefield.forwarding;

/** Decides whether a request is sent to the best available runner. */
public interface SendPolicy {
  /**
   * Decides about one request.
   *
   * @param candidate the best runner
   * @param timing the urgency of the request now
   */
  Decision decide(RunnerCandidate candidate, Timing timing);

  /**
   * The urgency of a request. Immutable.
   *
   * @param objectiveMilliseconds the target time from arrival to the start of the answer
   * @param objectiveLeftMilliseconds the time left until that target; 0 if the answer will be late
   * @param remainingMilliseconds the time that the caller will still wait
   */
  record Timing(
      long objectiveMilliseconds, long objectiveLeftMilliseconds, long remainingMilliseconds) {}

  /** The decision about a request. */
  enum Decision {
    /** Send it now. */
    SEND,
    /** Keep it waiting at this instance. */
    WAIT,
    /** Refuse it now. */
    REFUSE
  }
}
