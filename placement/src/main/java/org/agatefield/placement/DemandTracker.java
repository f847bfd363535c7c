package org.agatefield.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.model.ModelDemand;

/**
 * Tracks the demand for each model from the reports of all instances.
 *
 * <p>Rates are averaged over about {@link #RATE_WINDOW_MILLISECONDS}; a shift that chance does not
 * explain shows within some hundred milliseconds. The waiting and running requests of an instance
 * stop counting when its reports stop. Confined to one thread.
 */
public final class DemandTracker {
  private static final double RATE_WINDOW_MILLISECONDS = 2_000; // steady enough to balance load by
  private static final double RECENT_WINDOW_MILLISECONDS = 400; // one or two demand reports
  private static final double USUAL_WINDOW_MILLISECONDS = 30_000; // several rare requests
  // Random arrivals stray as far from their rate once in some thousand times.
  private static final double SHIFT_STANDARD_DEVIATIONS = 3.5;
  // What reports of a single instance that come at once may make of a steady rate.
  private static final double SHIFT_SHARE = 0.5;
  private static final long PAUSE_MILLISECONDS = 5_000; // what came before no longer counts
  // Keeps the first request after a pause from looking like many.
  private static final double START_MILLISECONDS = 350;
  private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500; // several report intervals

  private final Map<String, ModelRate> rates = new HashMap<>();
  private final Map<String, InstanceReport> reports = new HashMap<>();

  private record InstanceReport(List<ModelDemand> demands, long atMilliseconds) {}

  /** Counts over an exponential window, and the time that they were counted over. */
  private static final class Average {
    private final double windowMilliseconds;
    private double tokens;
    private double outputTokens;
    private double requests;
    private double milliseconds;

    Average(double windowMilliseconds) {
      this.windowMilliseconds = windowMilliseconds;
      this.milliseconds = windowMilliseconds;
    }

    void decay(long elapsedMilliseconds) {
      double remaining = Math.exp(-elapsedMilliseconds / windowMilliseconds);
      tokens *= remaining;
      outputTokens *= remaining;
      requests *= remaining;
      milliseconds = milliseconds * remaining + windowMilliseconds * (1 - remaining);
    }

    void add(ModelDemand demand) {
      tokens += demand.arrivedTokens();
      outputTokens += demand.arrivedOutputTokens();
      requests += demand.arrivedRequests();
    }

    /** Goes on from the counts of another average as if they had been counted in a given time. */
    void restartFrom(Average other, double countedMilliseconds) {
      tokens = other.tokens;
      outputTokens = other.outputTokens;
      requests = other.requests;
      milliseconds = countedMilliseconds;
    }

    double perSecond(double count) {
      return count * 1_000 / milliseconds;
    }

    double requestsPerSecond() {
      return perSecond(requests);
    }
  }

  private static final class ModelRate {
    private final Average average = new Average(RATE_WINDOW_MILLISECONDS);
    private final Average recent = new Average(RECENT_WINDOW_MILLISECONDS);
    private final Average usual = new Average(USUAL_WINDOW_MILLISECONDS);
    private long updatedAt;
    private long lastRequestAt = Long.MIN_VALUE / 2;

    void decayTo(long now) {
      long elapsed = Math.max(0, now - updatedAt);
      average.decay(elapsed);
      recent.decay(elapsed);
      usual.decay(elapsed);
      updatedAt = now;
      followShift();
    }

    void add(ModelDemand demand) {
      if (demand.arrivedRequests() > 0 && updatedAt - lastRequestAt > PAUSE_MILLISECONDS) {
        average.restartFrom(recent, START_MILLISECONDS);
      }
      average.add(demand);
      recent.add(demand);
      usual.add(demand);
      followShift();
    }

    /** Averages anew where chance does not explain how far the recent rate is from the average. */
    private void followShift() {
      double before = average.requestsPerSecond();
      double now = recent.requestsPerSecond();
      double perSecond = 1_000 / RECENT_WINDOW_MILLISECONDS;
      double variance = Math.max(before, perSecond) * perSecond / 2;
      double difference = Math.abs(now - before);
      if (difference <= SHIFT_SHARE * Math.max(now, before)
          || difference <= SHIFT_STANDARD_DEVIATIONS * Math.sqrt(variance)) {
        return;
      }
      // A rise is noticed before the recent window holds only what came after it.
      double counted = now > before ? RECENT_WINDOW_MILLISECONDS / 2 : RECENT_WINDOW_MILLISECONDS;
      average.restartFrom(recent, counted);
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
   * @param outputTokensPerSecond tokens that the requests that arrive let a runner generate
   * @param usualRequestsPerSecond requests that arrived over the last half minute
   */
  public record Demand(
      double tokensPerSecond,
      double requestsPerSecond,
      int waiting,
      int running,
      long idleMilliseconds,
      Map<String, Integer> runningAt,
      double outputTokensPerSecond,
      double usualRequestsPerSecond) {
    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0, 0, Long.MAX_VALUE / 2, Map.of());

    /** Creates a demand that has been the same for long and generates nothing. */
    public Demand(
        double tokensPerSecond,
        double requestsPerSecond,
        int waiting,
        int running,
        long idleMilliseconds,
        Map<String, Integer> runningAt) {
      this(
          tokensPerSecond,
          requestsPerSecond,
          waiting,
          running,
          idleMilliseconds,
          runningAt,
          0,
          requestsPerSecond);
    }

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
      rate.add(demand);
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
        rate.average.perSecond(rate.average.tokens),
        rate.average.requestsPerSecond(),
        counts.waiting,
        counts.running,
        now - rate.lastRequestAt,
        counts.runningAt,
        rate.average.perSecond(rate.average.outputTokens),
        rate.usual.requestsPerSecond());
  }
}
