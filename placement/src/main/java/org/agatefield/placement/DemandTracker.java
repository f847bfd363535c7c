package org.agatefield.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.model.ModelDemand;

/**
 * Tracks the demand for each model from the reports of all instances.
 *
 * <p>Rates are averaged over about {@link #RATE_WINDOW_MILLISECONDS}, so that a shift in demand
 * shows within a second or two. The waiting and running requests of an instance stop counting when
 * its reports stop. Confined to one thread.
 */
public final class DemandTracker {
  private static final double RATE_WINDOW_MILLISECONDS =
      2_000; // demand shifts within a second or two
  private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500; // several report intervals

  private final Map<String, ModelRate> rates = new HashMap<>();
  private final Map<String, InstanceReport> reports = new HashMap<>();

  private record InstanceReport(List<ModelDemand> demands, long atMilliseconds) {}

  private static final class ModelRate {
    private double tokensPerSecond;
    private double requestsPerSecond;
    private long updatedAt;
    private long lastRequestAt = Long.MIN_VALUE / 2;

    void decayTo(long now) {
      double remaining = Math.exp(-Math.max(0, now - updatedAt) / RATE_WINDOW_MILLISECONDS);
      tokensPerSecond *= remaining;
      requestsPerSecond *= remaining;
      updatedAt = now;
    }
  }

  /**
   * Demand for one model. Immutable.
   *
   * @param tokensPerSecond prompt tokens that arrive
   * @param requestsPerSecond requests that arrive
   * @param waiting requests that wait for a runner
   * @param running requests at runners
   * @param idleMilliseconds time since requests last arrived or waited
   * @param runningAt requests at runners, by the runner's identifier
   */
  public record Demand(
      double tokensPerSecond,
      double requestsPerSecond,
      int waiting,
      int running,
      long idleMilliseconds,
      Map<String, Integer> runningAt) {
    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0, 0, Long.MAX_VALUE / 2, Map.of());

    /** Copies the map. */
    public Demand {
      runningAt = Map.copyOf(runningAt);
    }
  }

  /** Records a report, which replaces the instance's earlier one. */
  public void record(String instance, List<ModelDemand> demands, long nowMilliseconds) {
    reports.put(instance, new InstanceReport(List.copyOf(demands), nowMilliseconds));
    for (ModelDemand demand : demands) {
      ModelRate rate = rates.computeIfAbsent(demand.model(), ignored -> new ModelRate());
      rate.decayTo(nowMilliseconds);
      double perSecond = 1_000 / RATE_WINDOW_MILLISECONDS;
      rate.tokensPerSecond += demand.arrivedTokens() * perSecond;
      rate.requestsPerSecond += demand.arrivedRequests() * perSecond;
      if (demand.arrivedRequests() > 0 || demand.waitingRequests() > 0) {
        rate.lastRequestAt = nowMilliseconds;
      }
    }
  }

  /** Returns the demand for every model that was ever reported. */
  public Map<String, Demand> demands(long nowMilliseconds) {
    reports
        .values()
        .removeIf(
            report -> nowMilliseconds - report.atMilliseconds() > MAXIMUM_REPORT_AGE_MILLISECONDS);
    Map<String, RequestCounts> countsByModel = new HashMap<>();
    for (InstanceReport report : reports.values()) {
      for (ModelDemand each : report.demands()) {
        countsByModel.computeIfAbsent(each.model(), ignored -> new RequestCounts()).add(each);
      }
    }
    Map<String, Demand> demands = new HashMap<>();
    rates.forEach(
        (model, rate) ->
            demands.put(
                model,
                demand(
                    rate,
                    countsByModel.getOrDefault(model, new RequestCounts()),
                    nowMilliseconds)));
    return demands;
  }

  /** Counts the requests for one model, summed over all instances. */
  private static final class RequestCounts {
    private int waiting;
    private int running;
    private final Map<String, Integer> runningAt = new HashMap<>();

    void add(ModelDemand demand) {
      waiting += demand.waitingRequests();
      running += demand.runningRequests();
      demand.runningAt().forEach((id, count) -> runningAt.merge(id, count, Integer::sum));
    }
  }

  private static Demand demand(ModelRate rate, RequestCounts counts, long now) {
    rate.decayTo(now);
    return new Demand(
        rate.tokensPerSecond,
        rate.requestsPerSecond,
        counts.waiting,
        counts.running,
        now - rate.lastRequestAt,
        counts.runningAt);
  }
}
