package org.agatefield.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.model.ModelDemand;

/**
 * The demand for each model over all instances, as their reports tell it.
 *
 * <p>Rates are averaged over about {@link #MEMORY_MILLISECONDS}, so that demand that moves is seen
 * within a second or two. What an instance has waiting and running is dropped when it falls silent.
 * Confined to one thread.
 */
public final class DemandTracker {
  private static final double MEMORY_MILLISECONDS = 2_000; // demand moves within a second or two
  private static final long REPORT_AGE_MILLISECONDS = 1_500; // several reports long

  private final Map<String, ModelRate> rates = new HashMap<>();
  private final Map<String, InstanceReport> reports = new HashMap<>();

  private record InstanceReport(List<ModelDemand> demands, long atMilliseconds) {}

  private static final class ModelRate {
    private double tokensPerSecond;
    private double requestsPerSecond;
    private long updatedAt;
    private long askedAt = Long.MIN_VALUE / 2;

    void decayTo(long now) {
      double kept = Math.exp(-Math.max(0, now - updatedAt) / MEMORY_MILLISECONDS);
      tokensPerSecond *= kept;
      requestsPerSecond *= kept;
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
   * @param idleMilliseconds how long nobody has asked for it
   * @param runningAt requests at runners, by the runner's identifier
   */
  public record Demand(
      double tokensPerSecond,
      double requestsPerSecond,
      int waiting,
      int running,
      long idleMilliseconds,
      Map<String, Integer> runningAt) {
    /** Nobody asks for the model. */
    public static final Demand NONE = new Demand(0, 0, 0, 0, Long.MAX_VALUE / 2, Map.of());

    /** Copies the map. */
    public Demand {
      runningAt = Map.copyOf(runningAt);
    }
  }

  /** Takes in a report. */
  public void record(String instance, List<ModelDemand> demands, long nowMilliseconds) {
    reports.put(instance, new InstanceReport(List.copyOf(demands), nowMilliseconds));
    for (ModelDemand demand : demands) {
      ModelRate rate = rates.computeIfAbsent(demand.model(), ignored -> new ModelRate());
      rate.decayTo(nowMilliseconds);
      double perSecond = 1_000 / MEMORY_MILLISECONDS;
      rate.tokensPerSecond += demand.arrivedTokens() * perSecond;
      rate.requestsPerSecond += demand.arrivedRequests() * perSecond;
      if (demand.arrivedRequests() > 0 || demand.waitingRequests() > 0) {
        rate.askedAt = nowMilliseconds;
      }
    }
  }

  /** Returns the demand for every model that was ever asked for. */
  public Map<String, Demand> demands(long nowMilliseconds) {
    reports
        .values()
        .removeIf(report -> nowMilliseconds - report.atMilliseconds() > REPORT_AGE_MILLISECONDS);
    Map<String, Presence> presences = new HashMap<>();
    for (InstanceReport report : reports.values()) {
      for (ModelDemand each : report.demands()) {
        presences.computeIfAbsent(each.model(), ignored -> new Presence()).add(each);
      }
    }
    Map<String, Demand> demands = new HashMap<>();
    rates.forEach(
        (model, rate) ->
            demands.put(
                model,
                demand(rate, presences.getOrDefault(model, new Presence()), nowMilliseconds)));
    return demands;
  }

  /** What all instances have of a model. */
  private static final class Presence {
    private int waiting;
    private int running;
    private final Map<String, Integer> runningAt = new HashMap<>();

    void add(ModelDemand demand) {
      waiting += demand.waitingRequests();
      running += demand.runningRequests();
      demand.runningAt().forEach((id, count) -> runningAt.merge(id, count, Integer::sum));
    }
  }

  private static Demand demand(ModelRate rate, Presence presence, long now) {
    rate.decayTo(now);
    return new Demand(
        rate.tokensPerSecond,
        rate.requestsPerSecond,
        presence.waiting,
        presence.running,
        now - rate.askedAt,
        presence.runningAt);
  }
}
