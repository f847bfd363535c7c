package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.agatefield.daemon.forward.wire.RateLimitAnnouncement;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks the request rates to which runners limit all instances together.
 *
 * <p>Invariants: the latest announcement of a runner process applies, whichever instance received
 * it; a response without a limit ends one only if its request was sent after the limit was last
 * announced, since responses may overtake each other; another process under the same identifier is
 * another runner. Changes are broadcast to the other instances. Confined to one event loop.
 */
final class RunnerLimits {
  private static final Logger LOGGER = LogManager.getLogger(RunnerLimits.class);

  private static final long GONE_RETENTION_MILLISECONDS = 60_000;

  private final LongSupplier clock;
  private final Consumer<PeerMessage> broadcast;
  private final Map<String, Announcement> announcements = new HashMap<>();
  private final Map<String, Long> goneAt = new HashMap<>();

  /** The latest announcement of a runner process. */
  private record Announcement(
      long startTimeMilliseconds, OptionalDouble requestsPerSecond, long atMilliseconds) {}

  /**
   * Creates a tracker that knows no limit.
   *
   * @param clock returns monotonic milliseconds
   * @param broadcast receives changes that other instances should know
   */
  RunnerLimits(LongSupplier clock, Consumer<PeerMessage> broadcast) {
    this.clock = clock;
    this.broadcast = broadcast;
  }

  /**
   * Records what the response to a request says about its runner's limit.
   *
   * @param sentAtMilliseconds when the request was sent, in monotonic milliseconds
   */
  void responseReceived(
      RunnerEntry runner,
      ResponseKind kind,
      RateLimitAnnouncement announcement,
      long sentAtMilliseconds) {
    if (kind == ResponseKind.UNUSABLE || kind == ResponseKind.MISDIRECTED) {
      return; // The response may come from another runner.
    }
    if (announcement instanceof RateLimitAnnouncement.Limited limited) {
      announced(runner, OptionalDouble.of(limited.requestsPerSecond()));
      return;
    }
    Optional<Announcement> known = announcement(runner.id(), runner.startTimeMilliseconds());
    boolean ends =
        announcement instanceof RateLimitAnnouncement.NotLimited
            && kind != ResponseKind.REJECTED
            && known.isPresent()
            && known.get().requestsPerSecond().isPresent()
            && known.get().atMilliseconds() <= sentAtMilliseconds;
    if (ends) {
      announced(runner, OptionalDouble.empty());
    }
  }

  /**
   * Records a limit in the response to a call that is not a request; such responses do not end a
   * limit, since runners are only required to name it in responses to requests.
   */
  void callAnswered(RunnerEntry runner, RateLimitAnnouncement announcement) {
    if (announcement instanceof RateLimitAnnouncement.Limited limited) {
      announced(runner, OptionalDouble.of(limited.requestsPerSecond()));
    }
  }

  /** Applies an announcement that another instance received, unless a later one is known. */
  void noticeReceived(PeerMessage.RunnerLimitNotice notice) {
    long announcedAt = clock.getAsLong() - notice.ageMilliseconds();
    Announcement known = announcements.get(notice.runner());
    boolean outdated =
        known != null
            && (known.startTimeMilliseconds() > notice.startTimeMilliseconds()
                || (known.startTimeMilliseconds() == notice.startTimeMilliseconds()
                    && known.atMilliseconds() >= announcedAt));
    if (!outdated) {
      record(
          notice.runner(),
          new Announcement(
              notice.startTimeMilliseconds(), notice.requestsPerSecond(), announcedAt));
    }
  }

  /** Returns the limit of a runner in requests per second; empty if it has none. */
  OptionalDouble requestsPerSecond(RunnerEntry runner) {
    return announcement(runner.id(), runner.startTimeMilliseconds())
        .map(Announcement::requestsPerSecond)
        .orElse(OptionalDouble.empty());
  }

  /** Returns the latest announcement of a runner for another instance. */
  PeerMessage.RunnerLimitNotice notice(RunnerEntry runner) {
    long now = clock.getAsLong();
    Optional<Announcement> known = announcement(runner.id(), runner.startTimeMilliseconds());
    return new PeerMessage.RunnerLimitNotice(
        runner.id(),
        runner.startTimeMilliseconds(),
        known.map(Announcement::requestsPerSecond).orElse(OptionalDouble.empty()),
        known.map(each -> Math.max(0, now - each.atMilliseconds())).orElse(0L));
  }

  /** Returns the number of runners with a limit. */
  int count() {
    return (int)
        announcements.values().stream()
            .filter(each -> each.requestsPerSecond().isPresent())
            .count();
  }

  /**
   * Notes that a runner's entry was removed. Its limit is kept for a while, since entries of live
   * runners may return.
   */
  void runnerGone(String runner) {
    long now = clock.getAsLong();
    goneAt.put(runner, now);
    goneAt
        .entrySet()
        .removeIf(
            gone ->
                now - gone.getValue() > GONE_RETENTION_MILLISECONDS
                    && removeUnlessAnnouncedSince(gone.getKey(), gone.getValue()));
  }

  private boolean removeUnlessAnnouncedSince(String runner, long since) {
    announcements.computeIfPresent(
        runner, (id, each) -> each.atMilliseconds() > since ? each : null);
    return true;
  }

  private Optional<Announcement> announcement(String runner, long startTime) {
    return Optional.ofNullable(announcements.get(runner))
        .filter(each -> each.startTimeMilliseconds() == startTime);
  }

  private void announced(RunnerEntry runner, OptionalDouble requestsPerSecond) {
    boolean changed = !requestsPerSecond(runner).equals(requestsPerSecond);
    record(
        runner.id(),
        new Announcement(runner.startTimeMilliseconds(), requestsPerSecond, clock.getAsLong()));
    if (changed) {
      broadcast.accept(notice(runner));
    }
  }

  private void record(String runner, Announcement announcement) {
    OptionalDouble before =
        announcement(runner, announcement.startTimeMilliseconds())
            .map(Announcement::requestsPerSecond)
            .orElse(OptionalDouble.empty());
    announcements.put(runner, announcement);
    if (!before.equals(announcement.requestsPerSecond())) {
      LOGGER.info(
          "runner={} born={} limit_per_second={} before={} age_ms={}",
          runner,
          announcement.startTimeMilliseconds(),
          text(announcement.requestsPerSecond()),
          text(before),
          clock.getAsLong() - announcement.atMilliseconds());
    }
  }

  private static Object text(OptionalDouble requestsPerSecond) {
    return requestsPerSecond.isPresent() ? requestsPerSecond.getAsDouble() : "none";
  }
}
