package org.agatefield.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.cost.LearnedRates;

/**
 * Tracks the load of each runner: the requests of this instance and the loads that neighbouring
 * instances report.
 *
 * <p>Invariant: the counts of this instance return to zero when every attempt has ended. Reports of
 * a neighbour are dropped once they are older than {@link #MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS}. Not
 * thread safe.
 */
public final class RunnerLoads {
  /** How long the report of a neighbour counts; it is repeated several times within this time. */
  public static final long MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS = 1_000;

  /** The work that one reported token stands for, on a runner of speed 1. */
  public static final double WORK_MILLISECONDS_PER_TOKEN =
      LearnedRates.DEFAULT_MILLISECONDS_PER_TOKEN;

  // How old a report is on average when it arrives, with one relay on its way and without.
  private static final long RELAYED_REPORT_MILLISECONDS = 200;
  private static final long DIRECT_REPORT_MILLISECONDS = 60;
  private static final double ARRIVAL_SMOOTHING = 0.25;
  private static final double NEGLIGIBLE_ARRIVALS = 0.001; // One work token in a second.
  private static final int CACHED_PARTS_PER_RUNNER = 512;

  private final LearnedRates rates;
  private final Map<String, OwnLoad> own = new HashMap<>();
  private final Map<String, NeighbourLoad> neighbourLoads = new HashMap<>();

  private static final class OwnLoad {
    private int running;
    private int pendingPrefillTokens;
    private final Map<SharedParts.Key, Boolean> cachedParts =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<SharedParts.Key, Boolean> eldest) {
            return size() > CACHED_PARTS_PER_RUNNER;
          }
        };
  }

  /**
   * The load of one runner. Immutable.
   *
   * @param running running requests
   * @param pendingPrefillTokens work of requests whose answers have not started, each as prompt
   *     tokens of a model of average pace
   */
  public record Load(int running, int pendingPrefillTokens) {
    private static final Load NONE = new Load(0, 0);

    Load plus(Load other) {
      return new Load(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens);
    }
  }

  /**
   * The report of a neighbour. Immutable.
   *
   * @param arrivals work tokens that arrive per millisecond, by runner
   * @param atMilliseconds when the report arrived
   * @param delayMilliseconds how old it was then
   */
  private record NeighbourLoad(
      Map<String, Load> loads,
      Map<String, Double> arrivals,
      long atMilliseconds,
      long delayMilliseconds) {}

  /**
   * What is left now of the load that neighbours have reported for a runner. Immutable.
   *
   * @param running running requests
   * @param pendingTokens pending work tokens that are left, with those that have arrived since
   * @param arrivalsPerMillisecond work tokens that arrive from neighbours per millisecond
   * @param ageMilliseconds the mean age of the reports; 0 without any
   */
  public record NeighbourView(
      int running, double pendingTokens, double arrivalsPerMillisecond, double ageMilliseconds) {
    private static final NeighbourView NONE = new NeighbourView(0, 0, 0, 0);
  }

  /** Creates loads of runners whose speeds are learned elsewhere. */
  public RunnerLoads(LearnedRates rates) {
    this.rates = rates;
  }

  /** Records that a request was sent. */
  public void sent(String runner, int workTokens) {
    OwnLoad load = load(runner);
    load.running++;
    load.pendingPrefillTokens += workTokens;
  }

  /** Records that the runner started to answer, or that the attempt ended before it did. */
  public void prefillEnded(String runner, int workTokens) {
    OwnLoad load = load(runner);
    load.pendingPrefillTokens = Math.max(0, load.pendingPrefillTokens - workTokens);
  }

  /** Records that an attempt ended. */
  public void ended(String runner) {
    OwnLoad load = load(runner);
    load.running = Math.max(0, load.running - 1);
  }

  /** Records that a runner has cached the shared parts of a prompt. */
  public void recordCachedParts(String runner, SharedParts parts) {
    OwnLoad load = load(runner);
    for (int index = 0; index < parts.size(); index++) {
      load.cachedParts.put(parts.key(index), Boolean.TRUE);
    }
  }

  /** Returns how many tokens of a prompt a runner would have to prefill. */
  public int uncachedTokens(String runner, SharedParts parts) {
    OwnLoad load = own.get(runner);
    int tokens = parts.promptTokens();
    if (load == null) {
      return tokens;
    }
    for (int index = 0; index < parts.size(); index++) {
      if (!load.cachedParts.containsKey(parts.key(index))) {
        break;
      }
      tokens -= parts.tokens(index);
    }
    return Math.max(0, tokens);
  }

  /** Replaces the reported load of a neighbour's requests. */
  public void updateNeighbour(String neighbour, Map<String, Load> loads, long nowMilliseconds) {
    update(neighbour, loads, nowMilliseconds, DIRECT_REPORT_MILLISECONDS);
  }

  /** Replaces the reports of all neighbours with one combined report from {@code relay}. */
  public void replaceNeighbours(String relay, Map<String, Load> loads, long nowMilliseconds) {
    neighbourLoads.keySet().retainAll(Set.of(relay));
    update(relay, loads, nowMilliseconds, RELAYED_REPORT_MILLISECONDS);
  }

  private void update(String neighbour, Map<String, Load> loads, long now, long delay) {
    NeighbourLoad before = neighbourLoads.get(neighbour);
    Map<String, Double> arrivals = new HashMap<>();
    if (before != null && now > before.atMilliseconds()) {
      long elapsed = now - before.atMilliseconds();
      Set<String> runners = new HashSet<>(loads.keySet());
      runners.addAll(before.arrivals().keySet());
      for (String runner : runners) {
        double rate = arrivals(before, runner, loads.getOrDefault(runner, Load.NONE), elapsed);
        if (rate > NEGLIGIBLE_ARRIVALS) {
          arrivals.put(runner, rate);
        }
      }
    }
    neighbourLoads.put(neighbour, new NeighbourLoad(Map.copyOf(loads), arrivals, now, delay));
  }

  private double arrivals(NeighbourLoad before, String runner, Load now, long elapsed) {
    Load last = before.loads().get(runner);
    double pendingBefore = last == null ? 0 : last.pendingPrefillTokens();
    double left = Math.max(0, pendingBefore - elapsed * workedOffPerMillisecond(runner));
    double sample = Math.max(0, now.pendingPrefillTokens() - left) / elapsed;
    double known = before.arrivals().getOrDefault(runner, 0.0);
    return known + ARRIVAL_SMOOTHING * (sample - known);
  }

  /** Returns the work tokens that a runner works off in a millisecond. */
  private double workedOffPerMillisecond(String runner) {
    return rates.relativeSpeed(runner) / WORK_MILLISECONDS_PER_TOKEN;
  }

  /** Returns the load of this instance's requests, for runners that have any. */
  public Map<String, Load> ownLoads() {
    Map<String, Load> loads = new HashMap<>();
    own.forEach(
        (runner, load) -> {
          if (load.running > 0) {
            loads.put(runner, new Load(load.running, load.pendingPrefillTokens));
          }
        });
    return loads;
  }

  /**
   * Returns the combined load of this instance and the given neighbours, for runners that have any.
   */
  public Map<String, Load> loadsWith(Collection<String> neighbourIds, long nowMilliseconds) {
    Map<String, Load> loads = ownLoads();
    for (String id : neighbourIds) {
      NeighbourLoad load = neighbourLoads.get(id);
      if (load == null || isExpired(load, nowMilliseconds)) {
        continue;
      }
      load.loads().forEach((runner, runnerLoad) -> loads.merge(runner, runnerLoad, Load::plus));
    }
    return loads;
  }

  /**
   * Returns the combined load of this instance and all neighbours with a recent report, for runners
   * that have any.
   */
  public Map<String, Load> allLoads(long nowMilliseconds) {
    return loadsWith(neighbourLoads.keySet(), nowMilliseconds);
  }

  /**
   * Returns the combined load of this instance and all neighbours with a recent report except one.
   */
  public Map<String, Load> loadsExcept(String neighbourId, long nowMilliseconds) {
    List<String> others =
        neighbourLoads.keySet().stream().filter(id -> !id.equals(neighbourId)).toList();
    return loadsWith(others, nowMilliseconds);
  }

  /** Returns the combined load of this instance and its neighbours on a runner. */
  public Load total(String runner, long nowMilliseconds) {
    neighbourLoads.values().removeIf(load -> isExpired(load, nowMilliseconds));
    OwnLoad ownLoad = own.get(runner);
    int running = ownLoad == null ? 0 : ownLoad.running;
    int pending = ownLoad == null ? 0 : ownLoad.pendingPrefillTokens;
    for (NeighbourLoad load : neighbourLoads.values()) {
      Load runnerLoad = load.loads().get(runner);
      if (runnerLoad != null) {
        running += runnerLoad.running();
        pending += runnerLoad.pendingPrefillTokens();
      }
    }
    return new Load(running, pending);
  }

  /** Returns the load of this instance's requests on a runner. */
  public Load own(String runner) {
    OwnLoad load = own.get(runner);
    return load == null ? Load.NONE : new Load(load.running, load.pendingPrefillTokens);
  }

  /**
   * Returns what is left of the neighbours' load on a runner: what was pending has been worked off
   * at the runner's speed since it was reported, and new work has arrived as before.
   */
  public NeighbourView neighbours(String runner, long nowMilliseconds) {
    int running = 0;
    double pending = 0;
    double arrivals = 0;
    double ages = 0;
    int reports = 0;
    for (NeighbourLoad each : neighbourLoads.values()) {
      if (isExpired(each, nowMilliseconds)) {
        continue;
      }
      reports++;
      ages += Math.max(0, nowMilliseconds - each.atMilliseconds()) + each.delayMilliseconds();
      Load load = each.loads().get(runner);
      if (load != null) {
        running += load.running();
        pending += load.pendingPrefillTokens();
      }
      arrivals += each.arrivals().getOrDefault(runner, 0.0);
    }
    if (reports == 0) {
      return NeighbourView.NONE;
    }
    double age = ages / reports;
    OwnLoad ownLoad = own.get(runner);
    double ownPending = ownLoad == null ? 0 : ownLoad.pendingPrefillTokens;
    // The runner reads this instance's prompts in the same time.
    double share = pending <= 0 ? 1 : pending / (pending + ownPending);
    double workedOff = share * workedOffPerMillisecond(runner);
    double left = Math.max(0, pending + age * (arrivals - workedOff));
    return new NeighbourView(running, left, arrivals, age);
  }

  private static boolean isExpired(NeighbourLoad load, long now) {
    return now - load.atMilliseconds() > MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS;
  }

  /** Forgets what the ended process of a runner kept; its attempts still end on their own. */
  public void processEnded(String runner) {
    OwnLoad load = own.get(runner);
    if (load != null && load.running == 0) {
      own.remove(runner);
    } else if (load != null) {
      load.cachedParts.clear();
    }
  }

  private OwnLoad load(String runner) {
    return own.computeIfAbsent(runner, ignored -> new OwnLoad());
  }
}
