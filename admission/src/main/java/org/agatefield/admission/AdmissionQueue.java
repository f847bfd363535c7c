package org.agatefield.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;

/**
 * Queues the requests that wait at one instance, for all targets.
 *
 * <p>Invariants: neither bound is ever exceeded; each request is selected or refused at most once,
 * never both; higher priorities are served first. Not thread safe: the caller holds one lock around
 * each call.
 */
public final class AdmissionQueue implements QueueView {
  private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Priority[] HIGHEST_FIRST = {
    Priority.INTERACTIVE, Priority.STANDARD, Priority.BATCH
  };

  private final QueueBounds bounds;
  private final SheddingPolicy shedding;
  private final SelectionOrder order;
  private final Map<Long, QueuedRequest> waiting = new HashMap<>();
  private final Map<Priority, CallerBacklogs<QueuedRequest>> byPriority = emptyBacklogs();
  private final Map<String, Map<Priority, CallerBacklogs<QueuedRequest>>> byTarget =
      new HashMap<>();
  private final Map<String, DrainMeter> drainMeters = new HashMap<>();
  private long waitingBytes;
  private int running;
  private long lastNanoseconds;

  /** Creates an empty queue. */
  public AdmissionQueue(QueueBounds bounds, SheddingPolicy shedding, SelectionOrder order) {
    this.bounds = bounds;
    this.shedding = shedding;
    this.order = order;
  }

  /** Queues {@code request}, or refuses it; may evict waiting requests to make room for it. */
  public Offer offer(QueuedRequest request, long nowNanoseconds) {
    lastNanoseconds = nowNanoseconds;
    Optional<Refusal> refusal = shedding.onArrival(request, this, nowNanoseconds);
    if (refusal.isPresent()) {
      return new Offer(false, List.of(refusal.get()));
    }
    List<Refusal> displaced = new ArrayList<>();
    while (!fits(request)) {
      Optional<QueuedRequest> evicted = evictionFor(request);
      if (evicted.isEmpty()) {
        displaced.add(fullRefusal(request));
        return new Offer(false, displaced);
      }
      remove(evicted.get());
      displaced.add(fullRefusal(evicted.get()));
    }
    add(request);
    return new Offer(true, displaced);
  }

  /** Selects the next request for a runner that has a free slot and can serve {@code targets}. */
  public Selection next(String resource, Collection<String> targets, long nowNanoseconds) {
    lastNanoseconds = nowNanoseconds;
    List<Refusal> refused = new ArrayList<>();
    for (Priority priority : HIGHEST_FIRST) {
      List<QueuedRequest> heads = timelyHeads(priority, targets, nowNanoseconds, refused);
      if (!heads.isEmpty()) {
        QueuedRequest chosen = order.choose(resource, heads);
        if (chosen.arrivalNanoseconds() < nowNanoseconds) {
          drainMeter(chosen.target()).departed();
        }
        remove(chosen);
        return new Selection(Optional.of(chosen), refused);
      }
    }
    return new Selection(Optional.empty(), refused);
  }

  /** Removes and returns the requests whose deadline can no longer be met. */
  public List<Refusal> expire(long nowNanoseconds) {
    lastNanoseconds = nowNanoseconds;
    List<Refusal> refused = new ArrayList<>();
    for (Priority priority : HIGHEST_FIRST) {
      timelyHeads(priority, List.copyOf(byTarget.keySet()), nowNanoseconds, refused);
    }
    return refused;
  }

  /** Removes a request whose caller disconnected; returns whether it was waiting. */
  public boolean cancel(long id) {
    QueuedRequest request = waiting.get(id);
    if (request == null) {
      return false;
    }
    remove(request);
    return true;
  }

  /** Records that a request for {@code target} was sent to an upstream. */
  public void started(String target) {
    running++;
    drainMeter(target).started();
  }

  /** Records that a request for {@code target} is no longer in flight at an upstream. */
  public void finished(String target) {
    running = Math.max(0, running - 1);
    drainMeter(target).finished();
  }

  /** Records the service time of a request that was answered completely. */
  public void recordServiceTime(
      String target, double cost, long serviceNanoseconds, long nowNanoseconds) {
    lastNanoseconds = nowNanoseconds;
    drainMeter(target).recordServiceTime(cost, serviceNanoseconds, nowNanoseconds);
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the total size of the bodies of the waiting requests, in bytes. */
  public long bytes() {
    return waitingBytes;
  }

  /** Returns one waiting request for each target that has any. */
  public List<QueuedRequest> oneRequestPerTarget() {
    List<QueuedRequest> found = new ArrayList<>(byTarget.size());
    for (Map<Priority, CallerBacklogs<QueuedRequest>> backlogs : byTarget.values()) {
      backlogs.values().stream()
          .flatMap(each -> each.first().stream())
          .findFirst()
          .ifPresent(found::add);
    }
    return found;
  }

  /**
   * Returns the expected time until all requests waiting for {@code target} have left the queue.
   */
  public long expectedDrainNanoseconds(String target) {
    int count = 0;
    for (CallerBacklogs<QueuedRequest> backlogs : backlogsOf(target).values()) {
      count += backlogs.size();
    }
    return drainMeter(target).expectedDrainNanoseconds(count, running);
  }

  /** Returns the number of requests for {@code target} in flight at upstreams. */
  public int running(String target) {
    return drainMeter(target).running();
  }

  @Override
  public int waitingFor(QueuedRequest request) {
    int count = 0;
    for (CallerBacklogs<QueuedRequest> backlogs : backlogsOf(request.target()).values()) {
      count += backlogs.size();
    }
    return count;
  }

  @Override
  public long expectedWaitNanoseconds(QueuedRequest request) {
    return drainMeter(request.target()).expectedDrainNanoseconds(requestsAhead(request), running);
  }

  @Override
  public long expectedServiceNanoseconds(QueuedRequest request) {
    return drainMeter(request.target()).expectedServiceNanoseconds(request.cost(), lastNanoseconds);
  }

  /**
   * Estimates how many requests are served before this one. Fair queueing bounds this number: in
   * the meantime, other callers are served at most in proportion to their weights.
   */
  private double requestsAhead(QueuedRequest request) {
    Map<Priority, CallerBacklogs<QueuedRequest>> backlogs = backlogsOf(request.target());
    double higher = 0;
    for (Priority priority : HIGHEST_FIRST) {
      if (priority.compareTo(request.priority()) > 0) {
        higher += backlogs.get(priority).size();
      }
    }
    CallerBacklogs<QueuedRequest> same = backlogs.get(request.priority());
    int own = same.sizeOf(request.caller());
    double shared = own * same.totalWeightWith(request) / request.weight();
    return higher + Math.min(same.size(), shared);
  }

  private List<QueuedRequest> timelyHeads(
      Priority priority, Collection<String> targets, long nowNanoseconds, List<Refusal> refused) {
    List<QueuedRequest> timely = new ArrayList<>();
    for (String target : targets) {
      Map<Priority, CallerBacklogs<QueuedRequest>> backlogs = byTarget.get(target);
      if (backlogs != null) {
        addTimelyHeads(backlogs.get(priority), nowNanoseconds, timely, refused);
      }
    }
    return timely;
  }

  private void addTimelyHeads(
      CallerBacklogs<QueuedRequest> backlogs,
      long nowNanoseconds,
      List<QueuedRequest> timely,
      List<Refusal> refused) {
    boolean removed = true;
    while (removed) {
      removed = false;
      for (QueuedRequest head : backlogs.heads()) {
        Optional<Refusal> refusal = shedding.beforeStart(head, this, nowNanoseconds);
        if (refusal.isPresent()) {
          remove(head);
          refused.add(refusal.get());
          removed = true;
        }
      }
    }
    timely.addAll(backlogs.heads());
  }

  private boolean fits(QueuedRequest request) {
    return waiting.size() < bounds.requests() && waitingBytes + request.bytes() <= bounds.bytes();
  }

  private Optional<QueuedRequest> evictionFor(QueuedRequest request) {
    for (int position = HIGHEST_FIRST.length - 1; position >= 0; position--) {
      Priority priority = HIGHEST_FIRST[position];
      if (priority.compareTo(request.priority()) > 0) {
        return Optional.empty();
      }
      Optional<QueuedRequest> evicted = byPriority.get(priority).lastOfLargestBacklog();
      if (evicted.isPresent() && priority.compareTo(request.priority()) < 0) {
        return evicted;
      }
      if (evicted.isPresent()) {
        return evicted.filter(last -> weightedBacklog(last, 0) > weightedBacklog(request, 1));
      }
    }
    return Optional.empty();
  }

  private double weightedBacklog(QueuedRequest request, int joining) {
    int own = byPriority.get(request.priority()).sizeOf(request.caller()) + joining;
    return (double) own / request.weight();
  }

  private Refusal fullRefusal(QueuedRequest request) {
    CallerBacklogs<QueuedRequest> same = byPriority.get(request.priority());
    int own = same.sizeOf(request.caller());
    double share = same.size() * request.weight() / same.totalWeightWith(request);
    if (own > share && same.size() > own) {
      return new Refusal(
          request,
          ErrorKind.OVER_FAIR_SHARE,
          QUEUE_FULL_RETRY_AFTER,
          "over the caller's fair share");
    }
    return new Refusal(request, ErrorKind.OVERLOADED, QUEUE_FULL_RETRY_AFTER, "the queue is full");
  }

  private void add(QueuedRequest request) {
    waiting.put(request.id(), request);
    byPriority.get(request.priority()).add(request);
    byTarget
        .computeIfAbsent(request.target(), ignored -> emptyBacklogs())
        .get(request.priority())
        .add(request);
    waitingBytes += request.bytes();
    drainMeter(request.target()).observe(true, lastNanoseconds);
  }

  private void remove(QueuedRequest request) {
    waiting.remove(request.id());
    byPriority.get(request.priority()).remove(request);
    Map<Priority, CallerBacklogs<QueuedRequest>> backlogs = byTarget.get(request.target());
    backlogs.get(request.priority()).remove(request);
    waitingBytes -= request.bytes();
    boolean empty = backlogs.values().stream().allMatch(CallerBacklogs::isEmpty);
    if (empty) {
      byTarget.remove(request.target());
    }
    drainMeter(request.target()).observe(!empty, lastNanoseconds);
  }

  private Map<Priority, CallerBacklogs<QueuedRequest>> backlogsOf(String target) {
    Map<Priority, CallerBacklogs<QueuedRequest>> backlogs = byTarget.get(target);
    return backlogs == null ? emptyBacklogs() : backlogs;
  }

  private DrainMeter drainMeter(String target) {
    return drainMeters.computeIfAbsent(target, ignored -> new DrainMeter());
  }

  private static Map<Priority, CallerBacklogs<QueuedRequest>> emptyBacklogs() {
    Map<Priority, CallerBacklogs<QueuedRequest>> backlogs = new EnumMap<>(Priority.class);
    for (Priority priority : Priority.values()) {
      backlogs.put(priority, new CallerBacklogs<>(CallerBacklogs.BY_DUE_TIME));
    }
    return backlogs;
  }
}
