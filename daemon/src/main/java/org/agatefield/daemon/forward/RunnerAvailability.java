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
 * Tracks which runners have announced in their responses that they are leaving or asked for a
 * backoff.
 *
 * <p>Invariants: this instance sends nothing to a leaving runner until its process ends, and
 * nothing to a runner in backoff until the backoff ends; another process under the same identifier
 * is another runner. New announcements are broadcast to the other instances, and theirs are applied
 * here. Confined to one event loop.
 */
final class RunnerAvailability {
  private static final Logger LOGGER = LogManager.getLogger(RunnerAvailability.class);

  private final Consumer<PeerMessage> broadcast;
  private final Map<String, Leaving> leaving = new HashMap<>();
  private final Map<String, Backoff> backoffs = new HashMap<>();

  private record Leaving(long startTimeMilliseconds, long sinceMilliseconds) {}

  private record Backoff(long startTimeMilliseconds, long untilMilliseconds) {}

  /** Creates a tracker that passes new announcements to {@code broadcast}. */
  RunnerAvailability(Consumer<PeerMessage> broadcast) {
    this.broadcast = broadcast;
  }

  /** Records a response in which a runner announced that it is leaving. */
  void leavingReported(RunnerEntry runner) {
    if (isLeaving(runner)) {
      return;
    }
    recordLeaving(runner.id(), runner.startTimeMilliseconds(), MonotonicClock.milliseconds());
    broadcast.accept(
        new PeerMessage.RunnerNotice(
            runner.id(), runner.startTimeMilliseconds(), OptionalLong.of(0), 0));
  }

  /** Records a response in which a runner rejected a request and asked for a backoff. */
  void backoffRequested(RunnerEntry runner, long milliseconds) {
    long now = MonotonicClock.milliseconds();
    boolean alreadyBackingOff = backoffUntil(runner, now) > now;
    recordBackoff(runner.id(), runner.startTimeMilliseconds(), now + milliseconds);
    if (!alreadyBackingOff) {
      broadcast.accept(
          new PeerMessage.RunnerNotice(
              runner.id(), runner.startTimeMilliseconds(), OptionalLong.empty(), milliseconds));
    }
  }

  /** Applies a notice from another instance. */
  void noticeReceived(PeerMessage.RunnerNotice notice, long now) {
    notice
        .leavingAgeMilliseconds()
        .ifPresent(
            age -> recordLeaving(notice.runner(), notice.startTimeMilliseconds(), now - age));
    if (notice.quietMilliseconds() > 0) {
      recordBackoff(
          notice.runner(), notice.startTimeMilliseconds(), now + notice.quietMilliseconds());
    }
  }

  boolean isLeaving(RunnerEntry runner) {
    Leaving recorded = leaving.get(runner.id());
    return recorded != null && recorded.startTimeMilliseconds() == runner.startTimeMilliseconds();
  }

  /**
   * Returns when a runner accepts requests again, in monotonic milliseconds; {@code now} or earlier
   * if it already does.
   */
  long backoffUntil(RunnerEntry runner, long now) {
    Backoff recorded = backoffs.get(runner.id());
    boolean current =
        recorded != null && recorded.startTimeMilliseconds() == runner.startTimeMilliseconds();
    return current ? recorded.untilMilliseconds() : now;
  }

  /** Removes a runner that no longer exists. */
  void forget(String runner) {
    leaving.remove(runner);
    backoffs.remove(runner);
  }

  private void recordLeaving(String runner, long processStart, long since) {
    Leaving recorded = leaving.get(runner);
    if (recorded != null && recorded.startTimeMilliseconds() >= processStart) {
      return;
    }
    leaving.put(runner, new Leaving(processStart, since));
    LOGGER.info(
        "runner={} born={} says=leaving age_ms={}",
        runner,
        processStart,
        MonotonicClock.milliseconds() - since);
  }

  private void recordBackoff(String runner, long processStart, long until) {
    Backoff recorded = backoffs.get(runner);
    boolean longer =
        recorded != null
            && recorded.startTimeMilliseconds() == processStart
            && recorded.untilMilliseconds() >= until;
    if (longer) {
      return;
    }
    backoffs.put(runner, new Backoff(processStart, until));
    LOGGER.info("runner={} says=quiet for_ms={}", runner, until - MonotonicClock.milliseconds());
  }
}
