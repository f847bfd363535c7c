package org.agatefield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the engines would hold after the moves planned so far, and the next move that gains most.
 *
 * <p>Every possible move is estimated from the engine's load and that of the model's replicas; only
 * the most promising are evaluated in full, by spreading all work again. Engines are named by their
 * index. Invariants: no engine holds more than its memory takes; each is ordered at most once; the
 * last replica of a model in use stays. Confined to one thread.
 */
final class ReplicaDraft {
  // Some 13,000 tokens a second with 34 GB of weights, decoding beside; the time goes with the
  // size.
  private static final double ENGINES_PER_TOKEN_AND_MEGABYTE = 1.0 / 13_000 / 34_300;
  private static final long ASKED_FOR_MILLISECONDS = 6_000; // longer than most callers wait
  // Work without a replica is lost whole; work on full engines is lost in part.
  private static final double UNSERVED_COST_PER_ENGINE = 8;
  private static final double UNSERVED_COST_PER_WAITING = 0.15;
  private static final double MINIMUM_GAIN = 0.12; // an engine takes one order at a time
  private static final long IDLE_MILLISECONDS = 1_000; // several reports of demand
  private static final double DEMAND_LASTS_MILLISECONDS = 9_000; // busy models change this often
  private static final double DRAIN_MILLISECONDS = 3_000; // an unload waits for whole streams
  private static final double RUNNING_REQUEST_WEIGHT = 0.1;
  private static final double STORE_LOAD_PRICE = 0.03; // the store's rate is shared and paid for
  private static final int STORE_LOADS_KEPT = 1; // for models without any replica
  // One evaluation spreads all work over all engines, so that fewer fit into a tick on large
  // fleets.
  private static final int EVALUATED_ENGINES = 6_000;
  private static final int FEWEST_EVALUATIONS = 40;
  private static final double ROUNDING = 1e-9; // loads that differ by less are equal
  private static final double MINIMUM_ESTIMATE = 0.02; // work that moves on adds to the gain

  /** A move, the engine that it is for, and what it gains. Immutable. */
  record Scored(ReplicaMove move, int engine, double gain) {}

  /** A model that an engine might load, before that is evaluated. */
  private record Option(ModelProfile model, int engine, double estimate) {}

  private final List<EngineView> engines;
  private final Map<String, ModelProfile> sizes = new HashMap<>();
  private final Map<String, DemandTracker.Demand> demands;
  private final Map<String, Double> work = new HashMap<>();
  private final List<Set<String>> held = new ArrayList<>();
  private final Set<Integer> ordered = new HashSet<>();
  private final Map<String, List<Integer>> holders = new HashMap<>();
  private int evaluations;

  ReplicaDraft(
      List<EngineView> engines, List<ModelProfile> models, Map<String, DemandTracker.Demand> demands) {
    this.engines = engines;
    this.demands = demands;
    models.forEach(model -> sizes.put(model.name(), model));
    for (int index = 0; index < engines.size(); index++) {
      held.add(new HashSet<>(engines.get(index).held()));
      for (String model : engines.get(index).held()) {
        holders.computeIfAbsent(model, ignored -> new ArrayList<>()).add(index);
      }
    }
    for (ModelProfile model : models) {
      double tokens = demandFor(model.name()).tokensPerSecond();
      work.put(model.name(), tokens * model.weightsMegabytes() * ENGINES_PER_TOKEN_AND_MEGABYTE);
    }
  }

  /** Returns how often all work was spread again. */
  int evaluations() {
    return evaluations;
  }

  Optional<Scored> best(int storeLoads) {
    LoadDistribution shares = shares();
    double before = cost(shares);
    Scored best = null;
    for (Option option : promising(shares, storeLoads)) {
      Optional<Scored> candidate = candidate(option.model(), option.engine(), storeLoads, before);
      if (candidate.isPresent() && (best == null || candidate.get().gain() > best.gain())) {
        best = candidate.get();
      }
    }
    return Optional.ofNullable(best);
  }

  void apply(Scored scored) {
    ordered.add(scored.engine());
    scored.move().unload().forEach(model -> remove(model, scored.engine()));
    add(scored.move().load(), scored.engine());
  }

  private List<Option> promising(LoadDistribution shares, int storeLoads) {
    List<Option> options = new ArrayList<>();
    for (ModelProfile model : sizes.values()) {
      if (!isAskedFor(model.name())) {
        continue;
      }
      Replicas replicas = replicas(model.name(), shares);
      for (int index = 0; index < engines.size(); index++) {
        if (!engines.get(index).acceptsOrders()
            || ordered.contains(index)
            || held.get(index).contains(model.name())
            || !mayLoad(model, index, storeLoads)) {
          continue;
        }
        double estimate = estimate(model, index, replicas, shares.load(index));
        if (estimate >= MINIMUM_ESTIMATE) {
          options.add(new Option(model, index, estimate));
        }
      }
    }
    options.sort(Comparator.comparingDouble(Option::estimate).reversed());
    int evaluated = Math.max(FEWEST_EVALUATIONS, EVALUATED_ENGINES / Math.max(1, engines.size()));
    return options.size() > evaluated ? options.subList(0, evaluated) : options;
  }

  private boolean mayLoad(ModelProfile model, int index, int storeLoads) {
    boolean served = !holders.getOrDefault(model.name(), List.of()).isEmpty();
    int storeLoadsKept = served ? STORE_LOADS_KEPT : 0;
    return !model.loadsFromStore(engines.get(index)) || storeLoads > storeLoadsKept;
  }

  /** How many replicas of a model share its work, and the load up to which they are filled. */
  private record Replicas(int count, double level) {}

  private Replicas replicas(String model, LoadDistribution shares) {
    List<Integer> where = holders.getOrDefault(model, List.of());
    double level = where.stream().mapToDouble(shares::load).min().orElse(0);
    int count =
        (int) where.stream().filter(index -> shares.load(index) <= level + ROUNDING).count();
    return new Replicas(count, level);
  }

  /** Estimates the gain of a replica, as if only the model's own work moved. */
  private double estimate(ModelProfile model, int index, Replicas replicas, double load) {
    double modelWork = work.getOrDefault(model.name(), 0.0);
    double gain;
    if (replicas.count() == 0) {
      gain =
          UNSERVED_COST_PER_ENGINE * modelWork
              + UNSERVED_COST_PER_WAITING * demandFor(model.name()).waiting()
              - growth(load, modelWork);
    } else {
      double even = (replicas.level() - load) * replicas.count() / (replicas.count() + 1.0);
      double moved = Math.min(modelWork, even);
      if (moved <= 0) {
        return 0;
      }
      gain =
          -replicas.count() * growth(replicas.level(), -moved / replicas.count())
              - growth(load, moved);
    }
    EngineView engine = engines.get(index);
    double lasting = 1 - model.loadMilliseconds(engine) / DEMAND_LASTS_MILLISECONDS;
    double price = model.loadsFromStore(engine) ? STORE_LOAD_PRICE : 0;
    return gain * Math.max(0, lasting) - price;
  }

  /** Returns how much an engine's cost grows with its load. */
  private static double growth(double load, double more) {
    return (load + more) * (load + more) - load * load;
  }

  private Optional<Scored> candidate(
      ModelProfile model, int index, int storeLoads, double costBefore) {
    EngineView engine = engines.get(index);
    final boolean fromStore = model.loadsFromStore(engine);
    Optional<List<String>> victims = victims(model, index);
    if (victims.isEmpty()) {
      return Optional.empty();
    }
    evaluations++;
    victims.get().forEach(victim -> remove(victim, index));
    add(model.name(), index);
    boolean drains = victims.get().stream().anyMatch(victim -> runsAt(victim, engine.id()) > 0);
    double time = model.loadMilliseconds(engine) + (drains ? DRAIN_MILLISECONDS : 0);
    double lasting = 1 - time / DEMAND_LASTS_MILLISECONDS;
    double gain = (costBefore - cost(shares())) * Math.max(0, lasting);
    remove(model.name(), index);
    victims.get().forEach(victim -> add(victim, index));
    double price = fromStore ? STORE_LOAD_PRICE : 0;
    if (gain - price < MINIMUM_GAIN) {
      return Optional.empty();
    }
    ReplicaMove move = new ReplicaMove(engine.id(), victims.get(), model.name(), fromStore, time);
    return Optional.of(new Scored(move, index, gain - price));
  }

  /** Returns what must make way; empty if that makes too little room. */
  private Optional<List<String>> victims(ModelProfile model, int index) {
    EngineView engine = engines.get(index);
    double free = engine.capacityMegabytes() - engine.reservedMegabytes() - heldMegabytes(index);
    List<String> removable =
        held.get(index).stream()
            .filter(each -> mayGiveUp(each))
            .sorted(Comparator.comparingDouble(each -> lossOfGivingUp(each, engine.id())))
            .toList();
    List<String> victims = new ArrayList<>();
    for (String each : removable) {
      if (free >= model.weightsMegabytes()) {
        break;
      }
      victims.add(each);
      free += weights(each);
    }
    return free >= model.weightsMegabytes() ? Optional.of(victims) : Optional.empty();
  }

  /** A model that nobody has asked for just now can come back from disk before its deadline. */
  private boolean mayGiveUp(String model) {
    DemandTracker.Demand demand = demandFor(model);
    boolean idle =
        demand.waiting() == 0
            && demand.running() == 0
            && demand.idleMilliseconds() >= IDLE_MILLISECONDS;
    return idle || holders.getOrDefault(model, List.of()).size() > 1;
  }

  private int runsAt(String model, String engine) {
    return demandFor(model).runningAt().getOrDefault(engine, 0);
  }

  private double lossOfGivingUp(String model, String engine) {
    int replicas = holders.getOrDefault(model, List.of()).size();
    double perReplica = work.getOrDefault(model, 0.0) / Math.max(1, replicas);
    return perReplica + RUNNING_REQUEST_WEIGHT * runsAt(model, engine);
  }

  private double cost(LoadDistribution shares) {
    double cost = shares.cost();
    for (ModelProfile model : sizes.values()) {
      boolean unserved = holders.getOrDefault(model.name(), List.of()).isEmpty();
      if (unserved && isAskedFor(model.name())) {
        DemandTracker.Demand demand = demandFor(model.name());
        cost += UNSERVED_COST_PER_ENGINE * work.getOrDefault(model.name(), 0.0);
        cost += UNSERVED_COST_PER_WAITING * demand.waiting();
      }
    }
    return cost;
  }

  private LoadDistribution shares() {
    return LoadDistribution.of(engines.size(), work, holders);
  }

  private boolean isAskedFor(String model) {
    return demandFor(model).idleMilliseconds() < ASKED_FOR_MILLISECONDS;
  }

  private DemandTracker.Demand demandFor(String model) {
    return demands.getOrDefault(model, DemandTracker.Demand.NONE);
  }

  private double heldMegabytes(int index) {
    return held.get(index).stream().mapToDouble(this::weights).sum();
  }

  private double weights(String model) {
    ModelProfile size = sizes.get(model);
    return size == null ? Double.MAX_VALUE / 4 : size.weightsMegabytes();
  }

  private void add(String model, int index) {
    held.get(index).add(model);
    holders.computeIfAbsent(model, ignored -> new ArrayList<>()).add(index);
  }

  private void remove(String model, int index) {
    held.get(index).remove(model);
    holders.getOrDefault(model, new ArrayList<>()).remove(Integer.valueOf(index));
  }
}
