package org.agatefield.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Holds the waiting work of one urgency by caller, each caller's in order.
 *
 * <p>Invariant: has no entry for a caller without waiting work. Not thread safe; guarded by the
 * lock of the queue.
 */
final class CallerBacklogs<W extends WaitingWork> {
  /** What is due first comes first. */
  static final Comparator<WaitingWork> BY_DUE_TIME =
      Comparator.comparingLong(WaitingWork::dueAt).thenComparingLong(WaitingWork::id);

  private final Comparator<? super W> order;
  private final Map<String, TreeSet<W>> byCaller = new HashMap<>();
  private int size;

  /** Creates empty backlogs; {@code order} is total. */
  CallerBacklogs(Comparator<? super W> order) {
    this.order = order;
  }

  void add(W request) {
    byCaller.computeIfAbsent(request.caller(), ignored -> new TreeSet<>(order)).add(request);
    size++;
  }

  void remove(W request) {
    TreeSet<W> backlog = byCaller.get(request.caller());
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
    TreeSet<W> backlog = byCaller.get(caller);
    return backlog == null ? 0 : backlog.size();
  }

  /** Returns arbitrary waiting work. */
  Optional<W> first() {
    return byCaller.values().stream().findFirst().map(TreeSet::first);
  }

  /** Returns the first work of each caller. */
  List<W> heads() {
    List<W> heads = new ArrayList<>(byCaller.size());
    byCaller.values().forEach(backlog -> heads.add(backlog.first()));
    return heads;
  }

  /**
   * Returns the sum of the weights of all callers with waiting work, including the caller of {@code
   * joining}.
   */
  double totalWeightWith(W joining) {
    double total = joining.weight();
    for (Map.Entry<String, TreeSet<W>> entry : byCaller.entrySet()) {
      if (!entry.getKey().equals(joining.caller())) {
        total += entry.getValue().first().weight();
      }
    }
    return total;
  }

  /** Returns the last work of the caller whose backlog is largest relative to its weight. */
  Optional<W> lastOfLargestBacklog() {
    W last = null;
    double largest = 0;
    for (TreeSet<W> backlog : byCaller.values()) {
      double load = (double) backlog.size() / backlog.first().weight();
      if (load > largest) {
        largest = load;
        last = backlog.last();
      }
    }
    return Optional.ofNullable(last);
  }
}
