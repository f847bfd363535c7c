package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.agatefield.admission.FleetSize;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerRefusalException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Distributes the request rates of limited runners among the instances.
 *
 * <p>One instance, the holder, grants the permits for a runner. Limits can be far below one request
 * per second and instance, so equal shares would be too small to use. Invariants: a request is sent
 * to a limited runner only with a permit; an instance without an answer of the holder sends
 * nothing; at most one request for permits is open per runner. Confined to one event loop.
 */
final class RunnerPermits {
  private static final Logger LOGGER = LogManager.getLogger(RunnerPermits.class);
  // Most requests can go to another runner, so they do not wait for a slow holder.
  private static final long REQUEST_TIMEOUT_MILLISECONDS = 200;
  private static final long RETRY_MILLISECONDS = 150; // Within this time a new holder is noticed.
  private static final long MINIMUM_WAIT_MILLISECONDS = 20;
  // The part of the permits that requests use which other runners could serve.
  private static final double CONFIRMATION_SHARE = 0.25;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private final LongSupplier clock;
  private final Fleet fleet;
  private final RunnerLimits limits;
  private final Runners runners;
  private final PermitHolders holders;
  private final PermitIssuer issuer;
  private final Map<String, PermitQueue> queues = new HashMap<>(); // By runner identifier.
  private final Map<String, Exhaustion> exhaustions = new HashMap<>(); // By runner identifier.
  private final Map<String, Long> grantedAt = new HashMap<>(); // By runner identifier.

  /** Provides the instances and the messaging that permits need. */
  interface Fleet {
    Instance self();

    /**
     * Returns the responsive instances including this one; returns the same list object while
     * nothing changes.
     */
    List<Instance> answering();

    /** Sends a request; the future completes on the event loop. */
    CompletableFuture<PeerMessage> request(
        Instance instance, PeerMessage message, long limitMilliseconds);
  }

  /** Provides the known runners. */
  interface Runners {
    Optional<RunnerEntry> entry(String id);

    /** Returns the region of a runner's failure domain; empty if it is not known. */
    Optional<String> region(RunnerEntry runner);
  }

  /** Requests of this instance that wait for the holder's answer, and calls to report to it. */
  private static final class PermitQueue {
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private int used;
    private boolean requestOpen;
  }

  private record Exhaustion(
      long startTimeMilliseconds, double requestsPerSecond, long untilMilliseconds) {}

  /**
   * Creates a distributor that has granted nothing.
   *
   * @param clock returns monotonic milliseconds
   */
  RunnerPermits(
      LongSupplier clock, Fleet fleet, FleetSize fleetSize, RunnerLimits limits, Runners runners) {
    this.clock = clock;
    this.fleet = fleet;
    this.limits = limits;
    this.runners = runners;
    this.holders = new PermitHolders(fleet, runners);
    this.issuer = new PermitIssuer(clock, fleetSize, limits);
  }

  /**
   * Requests a permit to send one request to a runner; passes whether it was granted to {@code
   * onDecision} exactly once, possibly before returning. A refused permit can be requested again
   * after {@link #exhaustedUntil}.
   */
  void acquire(RunnerEntry runner, Consumer<Boolean> onDecision) {
    if (!isLimited(runner)) {
      onDecision.accept(true);
      return;
    }
    long now = clock.getAsLong();
    if (exhaustedUntil(runner, now) > now) {
      onDecision.accept(false);
      return;
    }
    queue(runner).waiting.add(onDecision);
    requestPermits(runner);
  }

  /** Returns whether requests to a runner need a permit. */
  boolean isLimited(RunnerEntry runner) {
    return limits.requestsPerSecond(runner).isPresent();
  }

  /**
   * Returns whether requests that another runner can serve should leave the permits of a runner to
   * those that cannot. From time to time it returns false for a limited runner too, as only the
   * response to a request shows that a limit has ended.
   */
  boolean shouldSpare(RunnerEntry runner, long now) {
    OptionalDouble limit = limits.requestsPerSecond(runner);
    if (limit.isEmpty()) {
      return false;
    }
    double perSecond = CONFIRMATION_SHARE * PermitIssuer.permitsPerSecond(limit.getAsDouble());
    double intervalMilliseconds = MILLISECONDS_PER_SECOND * fleet.answering().size() / perSecond;
    Long last = grantedAt.get(runner.id());
    return last != null && now - last < intervalMilliseconds;
  }

  /** Records a call to a runner that was sent without a permit but counts against its limit. */
  void sentWithoutPermit(RunnerEntry runner) {
    if (!isLimited(runner)) {
      return;
    }
    queue(runner).used++;
    requestPermits(runner);
  }

  /**
   * Returns when a permit for a runner can be requested again, in monotonic milliseconds; {@code
   * now} or earlier if one can be requested now.
   */
  long exhaustedUntil(RunnerEntry runner, long now) {
    Exhaustion exhaustion = exhaustions.get(runner.id());
    OptionalDouble limit = limits.requestsPerSecond(runner);
    boolean current =
        exhaustion != null
            && limit.isPresent()
            && exhaustion.requestsPerSecond() == limit.getAsDouble()
            && exhaustion.startTimeMilliseconds() == runner.startTimeMilliseconds();
    return current ? exhaustion.untilMilliseconds() : now;
  }

  /**
   * Returns the rate at which this instance can expect permits for a runner while all instances
   * request them.
   */
  double expectedPerSecond(RunnerEntry runner) {
    double perSecond = PermitIssuer.permitsPerSecond(limits.requestsPerSecond(runner).orElse(0));
    return perSecond / Math.max(1, fleet.answering().size());
  }

  /** Answers a permit request of another instance. */
  PeerMessage.PermitAnswer answer(PeerMessage.PermitRequest request) {
    limits.noticeReceived(request.limit());
    Optional<RunnerEntry> runner =
        runners
            .entry(request.limit().runner())
            .filter(
                entry -> entry.startTimeMilliseconds() == request.limit().startTimeMilliseconds());
    if (runner.isPresent() && holders.isSelf(runner.get())) {
      return grant(runner.get(), request.wanted(), request.used());
    }
    // The holder in this instance's view may be of a version without permits, as the requester
    // already knows; a request to it shows that.
    if (request.wanted() > 0) { // Instances that disagree must not request from each other forever.
      runner.ifPresent(this::requestPermits);
    }
    return new PeerMessage.PermitAnswer(0, RETRY_MILLISECONDS, false);
  }

  /** Stops granting permits, because this instance is leaving. */
  void stopGranting() {
    holders.exclude(fleet.self().id());
  }

  /** Removes a runner whose entry was removed. */
  void runnerGone(String runner) {
    limits.runnerGone(runner);
    issuer.runnerGone(runner);
    exhaustions.remove(runner);
    grantedAt.remove(runner);
    queues.computeIfPresent(runner, (id, queue) -> queue.requestOpen ? queue : null);
  }

  private PermitQueue queue(RunnerEntry runner) {
    return queues.computeIfAbsent(runner.id(), ignored -> new PermitQueue());
  }

  /** Requests permits for everything that is queued, unless a request is already open. */
  private void requestPermits(RunnerEntry runner) {
    PermitQueue queue = queue(runner);
    if (queue.requestOpen) {
      return;
    }
    queue.requestOpen = true;
    final int wanted = queue.waiting.size();
    final int used = queue.used;
    queue.used = 0;
    Optional<Instance> holder = holders.holder(runner);
    if (holder.isEmpty() || holder.get().id().equals(fleet.self().id())) {
      // Without any eligible instance this one is the last that is left.
      decide(runner, wanted, grant(runner, wanted, used));
      return;
    }
    fleet
        .request(
            holder.get(),
            new PeerMessage.PermitRequest(limits.notice(runner), wanted, used),
            REQUEST_TIMEOUT_MILLISECONDS)
        .whenComplete(
            (answer, failure) -> {
              if (answer instanceof PeerMessage.PermitAnswer permits) {
                decide(runner, wanted, permits);
              } else {
                requestFailed(runner, holder.get(), wanted, used, failure);
              }
            });
  }

  private void requestFailed(
      RunnerEntry runner, Instance holder, int wanted, int used, Throwable failure) {
    queue(runner).used += used;
    LOGGER.info("runner={} permit holder={} failed=\"{}\"", runner.id(), holder.id(), failure);
    if (failure instanceof PeerRefusalException) {
      holders.exclude(holder.id());
      queue(runner).requestOpen = false;
      requestPermits(runner);
      return;
    }
    decide(runner, wanted, new PeerMessage.PermitAnswer(0, RETRY_MILLISECONDS, false));
  }

  /** Passes the holder's answer to the first {@code wanted} waiting requests. */
  private void decide(RunnerEntry runner, int wanted, PeerMessage.PermitAnswer answer) {
    PermitQueue queue = queue(runner);
    final List<Consumer<Boolean>> decided = new ArrayList<>(queue.waiting.subList(0, wanted));
    queue.waiting.subList(0, wanted).clear();
    OptionalDouble limit = limits.requestsPerSecond(runner);
    if (answer.granted() < wanted && limit.isPresent()) {
      long wait = Math.max(MINIMUM_WAIT_MILLISECONDS, answer.waitMilliseconds());
      exhaustions.put(
          runner.id(),
          new Exhaustion(
              runner.startTimeMilliseconds(), limit.getAsDouble(), clock.getAsLong() + wait));
    }
    if (answer.granted() > 0) {
      grantedAt.put(runner.id(), clock.getAsLong());
    }
    queue.requestOpen = false;
    for (int index = 0; index < decided.size(); index++) {
      decided.get(index).accept(index < answer.granted());
    }
    // Calls whose report failed are reported with the next request.
    boolean callsToReport = answer.responsible() && queue.used > 0;
    if (!queue.waiting.isEmpty() || callsToReport) {
      requestPermits(runner);
    }
  }

  private PeerMessage.PermitAnswer grant(RunnerEntry runner, int wanted, int used) {
    issuer.removeUnused(id -> runners.entry(id).filter(holders::isSelf).isPresent());
    return issuer.grant(runner, wanted, used, fleet.answering().size());
  }
}
