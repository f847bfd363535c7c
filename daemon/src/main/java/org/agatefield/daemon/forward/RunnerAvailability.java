package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What runners say of themselves in their answers: that they leave, or want no requests for a
 * while.
 *
 * <p>Invariants: a runner that said so to this instance gets nothing more from it, for as long as
 * it lives, or until its time is over; another life of the same identifier is another runner. What
 * was said here first is told to the other instances, and what they tell is taken in. Confined to
 * one event loop.
 */
final class RunnerAvailability {
  private static final Logger LOGGER = LogManager.getLogger(RunnerAvailability.class);

  private final Consumer<PeerMessage> broadcast;
  private final Map<String, Leaving> leaving = new HashMap<>();
  private final Map<String, Quiet> quiet = new HashMap<>();

  private record Leaving(long startTimeMilliseconds, long sinceMilliseconds) {}

  private record Quiet(long startTimeMilliseconds, long untilMilliseconds) {}

  /** Creates notices that tells new ones by {@code broadcast}. */
  RunnerAvailability(Consumer<PeerMessage> broadcast) {
    this.broadcast = broadcast;
  }

  /** A runner said in an answer that it leaves. */
  void leavingReported(RunnerEntry runner) {
    if (isLeaving(runner)) {
      return;
    }
    leave(runner.id(), runner.startTimeMilliseconds(), MonotonicClock.milliseconds());
    broadcast.accept(
        new PeerMessage.RunnerNotice(
            runner.id(), runner.startTimeMilliseconds(), OptionalLong.of(0), 0));
  }

  /** A runner turned a request away and wants no more for a while. */
  void backoffRequested(RunnerEntry runner, long milliseconds) {
    long now = MonotonicClock.milliseconds();
    boolean known = backoffUntil(runner, now) > now;
    rest(runner.id(), runner.startTimeMilliseconds(), now + milliseconds);
    if (!known) {
      broadcast.accept(
          new PeerMessage.RunnerNotice(
              runner.id(), runner.startTimeMilliseconds(), OptionalLong.empty(), milliseconds));
    }
  }

  /** Another instance tells what a runner said to it. */
  void heard(PeerMessage.RunnerNotice notice, long now) {
    notice
        .leavingAgeMilliseconds()
        .ifPresent(age -> leave(notice.runner(), notice.startTimeMilliseconds(), now - age));
    if (notice.quietMilliseconds() > 0) {
      rest(notice.runner(), notice.startTimeMilliseconds(), now + notice.quietMilliseconds());
    }
  }

  boolean isLeaving(RunnerEntry runner) {
    Leaving known = leaving.get(runner.id());
    return known != null && known.startTimeMilliseconds() == runner.startTimeMilliseconds();
  }

  /**
   * Returns when a runner takes requests again, in monotonic milliseconds; {@code now} or before if
   * it does.
   */
  long backoffUntil(RunnerEntry runner, long now) {
    Quiet known = quiet.get(runner.id());
    boolean current =
        known != null && known.startTimeMilliseconds() == runner.startTimeMilliseconds();
    return current ? known.untilMilliseconds() : now;
  }

  /** Forgets a runner that is gone. */
  void forget(String runner) {
    leaving.remove(runner);
    quiet.remove(runner);
  }

  private void leave(String runner, long born, long since) {
    Leaving known = leaving.get(runner);
    if (known != null && known.startTimeMilliseconds() >= born) {
      return;
    }
    leaving.put(runner, new Leaving(born, since));
    LOGGER.info(
        "runner={} born={} says=leaving age_ms={}",
        runner,
        born,
        MonotonicClock.milliseconds() - since);
  }

  private void rest(String runner, long born, long until) {
    Quiet known = quiet.get(runner);
    boolean longer =
        known != null
            && known.startTimeMilliseconds() == born
            && known.untilMilliseconds() >= until;
    if (longer) {
      return;
    }
    quiet.put(runner, new Quiet(born, until));
    LOGGER.info("runner={} says=quiet for_ms={}", runner, until - MonotonicClock.milliseconds());
  }
}
