package org.agatefield.forwarding;

import org.agatefield.cost.TokenRoom.Room;

/**
 * Sends a request only to a runner that can start it in time, and refuses requests that no runner
 * can.
 *
 * <p>Applies to a model whose requests arrive faster than its runners can process their prompts: a
 * runner that is sent every request completes none before its deadline, and a runner that is sent
 * as many as it can complete answers each of them late. A request that will miss its objective is
 * sent only while the runner's backlog leaves room for requests that can still meet theirs.
 * Otherwise it waits for a replica that is being loaded, and is refused once that would take too
 * long. A request that does not fit into the runner's token memory waits likewise. Stateless and
 * thread safe.
 */
public final class StartInTimePolicy implements SendPolicy {
  // With a longer backlog only short prompts could start in time and long ones would be refused.
  private static final double MAXIMUM_BACKLOG_SHARE = 0.75;
  // A request that is already late is sent only to a runner that will soon be idle.
  private static final double MAXIMUM_BACKLOG_SHARE_FOR_LATE_REQUESTS = 0.3;
  // The rest of the remaining time is needed to generate the answer.
  private static final double MAXIMUM_START_SHARE_OF_REMAINING = 0.5;

  @Override
  public Decision decide(RunnerCandidate candidate, Timing timing) {
    if (candidate.outlook().room() == Room.TOO_SMALL) {
      return Decision.REFUSE;
    }
    double start = candidate.firstEventMilliseconds();
    double backlogShare = candidate.backlogMilliseconds() / timing.objectiveMilliseconds();
    boolean inTime =
        start <= Math.min(timing.objectiveLeftMilliseconds(), timing.remainingMilliseconds())
            && backlogShare <= MAXIMUM_BACKLOG_SHARE;
    boolean acceptableLate =
        start <= timing.remainingMilliseconds()
            && backlogShare <= MAXIMUM_BACKLOG_SHARE_FOR_LATE_REQUESTS;
    boolean fits = candidate.outlook().room() == Room.FREE;
    if (fits && (inTime || acceptableLate)) {
      return Decision.SEND;
    }
    boolean hopeless = start > MAXIMUM_START_SHARE_OF_REMAINING * timing.remainingMilliseconds();
    return hopeless ? Decision.REFUSE : Decision.WAIT;
  }
}
