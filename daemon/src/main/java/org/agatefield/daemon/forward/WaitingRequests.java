package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.agatefield.admission.HeldWorkOrder;
import org.agatefield.daemon.quarantine.Timers;

/**
 * Holds requests that wait for a runner with capacity.
 *
 * <p>When conditions change, and at short intervals while any wait, the requests for each target
 * are retried in the order in which they should get room, until one still finds none. Invariants:
 * at most one retry of the requests is scheduled; each waiting request is retried at least every
 * {@link #COMPLETE_RETRY_MILLISECONDS}, as it may have become impossible to serve meanwhile.
 * Confined to one event loop.
 */
final class WaitingRequests {
  /** The longest time between two retries of one request. */
  static final long COMPLETE_RETRY_MILLISECONDS = 480;

  private static final long RETRY_MILLISECONDS = 60; // Well below the shortest objective.
  // A batch of events from runners frees room several times.
  private static final long MINIMUM_PAUSE_MILLISECONDS = 15;

  private final Timers timers;
  private final LongSupplier clock;
  private final HeldWorkOrder order;
  private final Map<Long, WaitingRequest> waiting = new LinkedHashMap<>();
  private final Map<Long, Long> triedAt = new HashMap<>();
  private long dueAt = Long.MAX_VALUE;
  private long lastRetryAt;

  /** A waiting request. */
  interface WaitingRequest {
    /** Returns what the request claims of the room at runners. */
    RoomClaim claim();

    /** Identifies the limited runners from which the request needs a permit; empty if none. */
    Optional<String> permitKey();

    /** Returns whether the request waits because runners lack room for it. */
    boolean lacksRoom();

    /** Selects a runner again; the request is no longer waiting unless it registers again. */
    void retry();
  }

  WaitingRequests(Timers timers, LongSupplier clock, HeldWorkOrder order) {
    this.timers = timers;
    this.clock = clock;
    this.order = order;
  }

  void add(WaitingRequest request) {
    waiting.put(request.claim().id(), request);
    triedAt.put(request.claim().id(), clock.getAsLong());
    schedule(RETRY_MILLISECONDS);
  }

  void remove(WaitingRequest request) {
    waiting.remove(request.claim().id());
    triedAt.remove(request.claim().id());
  }

  int size() {
    return waiting.size();
  }

  /** Returns the number of waiting requests of one priority. */
  long count(int priority) {
    return waiting.values().stream().filter(each -> each.claim().rank() == priority).count();
  }

  /** Returns the number of requests that wait for a permit of the given runners. */
  long countWaitingForPermit(String key) {
    return waiting.values().stream()
        .filter(request -> request.permitKey().filter(key::equals).isPresent())
        .count();
  }

  /** Returns whether other requests for the target of a claim wait for room. */
  boolean hasLine(RoomClaim claim) {
    return claim.needsRoom()
        && waiting.values().stream()
            .anyMatch(
                each ->
                    each.lacksRoom()
                        && each.claim().id() != claim.id()
                        && each.claim().target().equals(claim.target()));
  }

  /** Returns the place of a claim among those of its target and urgency, waiting or not. */
  RoomAllocation.Place place(RoomClaim claim, long now) {
    List<RoomClaim> competing = new ArrayList<>();
    competing.add(claim);
    for (WaitingRequest each : waiting.values()) {
      RoomClaim other = each.claim();
      if (other.id() != claim.id()
          && other.rank() == claim.rank()
          && other.target().equals(claim.target())) {
        competing.add(other);
      }
    }
    return new RoomAllocation.Place(order.order(competing, now).indexOf(claim), competing.size());
  }

  /** Retries soon, because room has been freed or taken. */
  void roomChanged() {
    if (!waiting.isEmpty()) {
      long sinceLast = clock.getAsLong() - lastRetryAt;
      schedule(Math.max(1, MINIMUM_PAUSE_MILLISECONDS - sinceLast));
    }
  }

  /** Retries all waiting requests, most urgent first. */
  void retryAll() {
    retry(Long.MAX_VALUE);
  }

  private void retryInOrder() {
    retry(clock.getAsLong() - COMPLETE_RETRY_MILLISECONDS);
  }

  /** Retries those that are first in order, and those that were last tried before a time. */
  private void retry(long triedBefore) {
    if (waiting.isEmpty()) {
      return;
    }
    long now = clock.getAsLong();
    lastRetryAt = now;
    Map<String, List<RoomClaim>> byTarget = new LinkedHashMap<>();
    for (WaitingRequest each : waiting.values()) {
      byTarget
          .computeIfAbsent(each.claim().target(), ignored -> new ArrayList<>())
          .add(each.claim());
    }
    byTarget.values().forEach(claims -> retryTarget(order.order(claims, now), triedBefore));
    if (!waiting.isEmpty()) {
      schedule(RETRY_MILLISECONDS);
    }
  }

  private void retryTarget(List<RoomClaim> ordered, long triedBefore) {
    boolean full = false;
    for (RoomClaim claim : ordered) {
      WaitingRequest request = waiting.get(claim.id());
      if (request == null) {
        continue; // An earlier retry has ended it.
      }
      if (full && triedAt.getOrDefault(claim.id(), 0L) > triedBefore) {
        continue;
      }
      request.retry();
      full |= claim.needsRoom() && waiting.containsKey(claim.id());
    }
  }

  private void schedule(long milliseconds) {
    long retryAt = clock.getAsLong() + milliseconds;
    if (dueAt <= retryAt) {
      return;
    }
    dueAt = retryAt;
    timers.after(milliseconds, () -> timerFired(retryAt));
  }

  private void timerFired(long scheduledFor) {
    if (scheduledFor == dueAt) { // An earlier retry was scheduled meanwhile otherwise.
      dueAt = Long.MAX_VALUE;
      retryInOrder();
    }
  }
}
