package org.agatefield.forwarding;

/** Decides whether a request is sent to the best runner there is. */
public interface SendPolicy {
  /**
   * Decides about one request.
   *
   * @param candidate the best runner
   * @param timing how urgent the request is now
   */
  Decision decide(RunnerCandidate candidate, Timing timing);

  /**
   * How urgent a request is. Immutable.
   *
   * @param objectiveMilliseconds how soon after its arrival the answer should begin
   * @param objectiveLeftMilliseconds what is left of that; 0 if the answer will be late
   * @param remainingMilliseconds how long the caller still waits
   */
  record Timing(
      long objectiveMilliseconds, long objectiveLeftMilliseconds, long remainingMilliseconds) {}

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
