package org.agatefield.forwarding;

/** Decides whether a request is sent to the best runner there is. */
public interface SendPolicy {
  /**
   * Decides about one request.
   *
   * @param candidate the best runner
   * @param objectiveMilliseconds when the answer should begin
   * @param remainingMilliseconds how long the caller still waits
   */
  Decision decide(
      RunnerCandidate candidate, long objectiveMilliseconds, long remainingMilliseconds);

  /** What to do with a request. */
  enum Decision {
    /** Send it now. */
    SEND,
    /** Let it wait here. */
    WAIT,
    /** Refuse it now. */
    REFUSE
  }
}
