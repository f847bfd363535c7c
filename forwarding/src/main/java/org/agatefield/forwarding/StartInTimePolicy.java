package org.agatefield.forwarding;

/**
 * Sends a request only to a runner that can begin it in time, and refuses what none can.
 *
 * <p>Answers the load pattern of a model that is asked for faster than its runners read: a runner
 * that gets everything finishes nothing before its deadline, and one that gets all that it can
 * finish answers each request late. A request that will be late is sent only while the runner's
 * backlog leaves room for those that can still be in time; otherwise it waits for a replica that is
 * being made, and is refused once that would take too long. Stateless and safe for use by any
 * thread.
 */
public final class StartInTimePolicy implements SendPolicy {
  // Beyond this backlog only short prompts could be in time, and long ones would be refused.
  private static final double BACKLOG_SHARE_OF_OBJECTIVE = 0.75;
  // A late request takes what is soon to be idle.
  private static final double LATE_BACKLOG_SHARE_OF_OBJECTIVE = 0.3;
  private static final double HOPELESS_SHARE_OF_REMAINING = 0.5; // the rest is for the answer

  @Override
  public Decision decide(RunnerCandidate candidate, Timing timing) {
    double begin = candidate.prefillMilliseconds();
    double backlog = candidate.backlogMilliseconds() / timing.objectiveMilliseconds();
    boolean inTime =
        begin <= Math.min(timing.objectiveLeftMilliseconds(), timing.remainingMilliseconds())
            && backlog <= BACKLOG_SHARE_OF_OBJECTIVE;
    boolean useful =
        begin <= timing.remainingMilliseconds() && backlog <= LATE_BACKLOG_SHARE_OF_OBJECTIVE;
    if (inTime || useful) {
      return Decision.SEND;
    }
    boolean hopeless = begin > HOPELESS_SHARE_OF_REMAINING * timing.remainingMilliseconds();
    return hopeless ? Decision.REFUSE : Decision.WAIT;
  }
}
