package org.agatefield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Orders the work that waits for the same runners: by urgency, in fair turns of the client
 * accounts, and within an account returned callers first, then what is due first.
 *
 * <p>Invariants: the order is a permutation of the work. Work that misses its objective comes after
 * the work of its rank that can still meet it. Of the cost of any beginning of the order, each rank
 * that still has work behind it has got {@link UrgencyShares#GUARANTEED_SHARE}, and accounts with
 * work in the same group have got shares in proportion to their weights, to within the cost of one
 * request, if their recent usage was. Not thread safe.
 */
public final class HeldWorkOrder {
  private static final Comparator<HeldWork> RETURNED_FIRST =
      Comparator.comparing((HeldWork work) -> !work.returned())
          .thenComparing(CallerBacklogs.BY_DUE_TIME);

  private final RecentUsage usage;
  private final UrgencyShares urgencies;

  /** Creates an order that continues what was given so far. */
  public HeldWorkOrder(RecentUsage usage, UrgencyShares urgencies) {
    this.usage = usage;
    this.urgencies = urgencies;
  }

  /** Returns the work in the order in which it should get room. */
  public <W extends HeldWork> List<W> order(Collection<W> waiting, long nowMilliseconds) {
    if (waiting.size() <= 1) {
      return List.copyOf(waiting);
    }
    TreeMap<Integer, RankBacklog<W>> ranks = new TreeMap<>();
    for (W work : waiting) {
      ranks.computeIfAbsent(work.rank(), ignored -> new RankBacklog<>()).add(work, nowMilliseconds);
    }
    String service = waiting.iterator().next().service();
    Map<Integer, Double> givenByRank = urgencies.recent(service, nowMilliseconds);
    FairSelection selection = new FairSelection(new PlannedShares(usage, nowMilliseconds));
    List<W> ordered = new ArrayList<>(waiting.size());
    while (!ranks.isEmpty()) {
      int rank = nextRank(ranks, givenByRank);
      RankBacklog<W> backlog = ranks.get(rank);
      W next = selection.choose(service, backlog.heads());
      backlog.remove(next);
      if (backlog.isEmpty()) {
        ranks.remove(rank);
      }
      givenByRank.merge(rank, next.cost(), Double::sum);
      ordered.add(next);
    }
    return ordered;
  }

  private static int nextRank(
      TreeMap<Integer, ? extends RankBacklog<?>> ranks, Map<Integer, Double> givenByRank) {
    for (int rank : ranks.tailMap(ranks.firstKey(), false).keySet()) {
      if (UrgencyShares.hasTooLittle(rank, givenByRank)) {
        return rank;
      }
    }
    return ranks.firstKey();
  }

  /** The work of one rank, what can still meet its objective apart from the rest. */
  private static final class RankBacklog<W extends HeldWork> {
    private final CallerBacklogs<W> timely = new CallerBacklogs<>(RETURNED_FIRST);
    private final CallerBacklogs<W> late = new CallerBacklogs<>(RETURNED_FIRST);

    void add(W work, long now) {
      (work.objectiveAt() >= now ? timely : late).add(work);
    }

    List<W> heads() {
      return timely.isEmpty() ? late.heads() : timely.heads();
    }

    void remove(W work) {
      (timely.isEmpty() ? late : timely).remove(work);
    }

    boolean isEmpty() {
      return timely.isEmpty() && late.isEmpty();
    }
  }

  /** Recent usage with what is planned in front of the next turn. */
  private static final class PlannedShares implements FairShares {
    private final RecentUsage usage;
    private final long now;
    private final Map<String, Double> costs = new HashMap<>();

    PlannedShares(RecentUsage usage, long now) {
      this.usage = usage;
      this.now = now;
    }

    @Override
    public double share(String resource, WaitingWork work) {
      return cost(work) / work.weight();
    }

    @Override
    public void serve(String resource, WaitingWork work) {
      costs.put(work.caller(), cost(work) + work.cost());
    }

    private double cost(WaitingWork work) {
      return costs.computeIfAbsent(work.caller(), account -> usage.of(account, now));
    }
  }
}
