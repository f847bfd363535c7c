package org.agatefield.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Holds the waiting requests of one priority by caller, each caller's ordered by deadline.
 *
 * <p>Invariant: has no entry for a caller without waiting requests. Not thread safe; guarded by the
 * lock of the queue.
 */
final class CallerBacklogs {
  private static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.comparingLong(QueuedRequest::deadlineNanoseconds)
          .thenComparingLong(QueuedRequest::id);

  private final Map<String, TreeSet<QueuedRequest>> byCaller = new HashMap<>();
  private int size;

  void add(QueuedRequest request) {
    byCaller.computeIfAbsent(request.caller(), ignored -> new TreeSet<>(BY_DEADLINE)).add(request);
    size++;
  }

  void remove(QueuedRequest request) {
    TreeSet<QueuedRequest> backlog = byCaller.get(request.caller());
    if (backlog == null || !backlog.remove(request)) {
      return;
    }
    size--;
    if (backlog.isEmpty()) {
      byCaller.remove(request.caller());
    }
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  int sizeOf(String caller) {
    TreeSet<QueuedRequest> backlog = byCaller.get(caller);
    return backlog == null ? 0 : backlog.size();
  }

  /** Returns an arbitrary waiting request. */
  Optional<QueuedRequest> first() {
    return byCaller.values().stream().findFirst().map(TreeSet::first);
  }

  /** Returns the request with the earliest deadline of each caller. */
  List<QueuedRequest> heads() {
    List<QueuedRequest> heads = new ArrayList<>(byCaller.size());
    byCaller.values().forEach(backlog -> heads.add(backlog.first()));
    return heads;
  }

  /**
   * Returns the sum of the weights of all callers with waiting requests, including the caller of
   * {@code joining}.
   */
  double totalWeightWith(QueuedRequest joining) {
    double total = joining.weight();
    for (Map.Entry<String, TreeSet<QueuedRequest>> entry : byCaller.entrySet()) {
      if (!entry.getKey().equals(joining.caller())) {
        total += entry.getValue().first().weight();
      }
    }
    return total;
  }

  /**
   * Returns the request with the latest deadline of the caller whose backlog is largest relative to
   * its weight.
   */
  Optional<QueuedRequest> lastOfLargestBacklog() {
    QueuedRequest last = null;
    double largest = 0;
    for (TreeSet<QueuedRequest> backlog : byCaller.values()) {
      double load = (double) backlog.size() / backlog.first().weight();
      if (load > largest) {
        largest = load;
        last = backlog.last();
      }
    }
    return Optional.ofNullable(last);
  }
}
