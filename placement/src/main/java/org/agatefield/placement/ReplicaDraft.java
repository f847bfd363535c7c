package org.agatefield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Tracks what the engines will hold after the moves planned so far and finds the next best move.
 *
 * <p>Every possible move is estimated from the load of the engine and of the model's replicas; only
 * those with the highest estimates are evaluated in full, by distributing the load of all models
 * again. Engines are identified by their index. Invariants: no engine holds more than its memory;
 * each gets at most one move; the last replica of a model in use is not unloaded. Confined to one
 * thread.
 */
final class ReplicaDraft {
  // An engine reads about 13,000 prompt tokens per second with 34 GB of weights while it decodes;
  // the time per token is proportional to the size of the weights.
  private static final double ENGINES_PER_TOKEN_AND_MEGABYTE = 1.0 / 13_000 / 34_300;
  private static final long RECENT_DEMAND_MILLISECONDS = 6_000; // longer than most callers wait
  // Requests for a model without a replica are all lost; on overloaded engines only some are.
  private static final double UNSERVED_COST_PER_ENGINE = 8;
  private static final double UNSERVED_COST_PER_WAITING = 0.15;
  private static final double MINIMUM_GAIN = 0.12; // an engine executes one order at a time
  private static final long MINIMUM_IDLE_MILLISECONDS = 1_000; // several demand reports
  private static final double DEMAND_DURATION_MILLISECONDS = 9_000; // until other models are busy
  private static final double DRAIN_MILLISECONDS = 3_000; // unloading waits for streams to end
  private static final double RUNNING_REQUEST_WEIGHT = 0.1;
  private static final double STORE_LOAD_COST = 0.03; // the store's rate is shared and paid for
  private static final int RESERVED_STORE_LOADS = 1; // for models without a replica
  // An evaluation distributes the load over all engines, so fewer fit into a tick on large fleets.
  private static final int ENGINE_EVALUATION_BUDGET = 6_000;
  private static final int MINIMUM_EVALUATIONS = 40;
  private static final double LOAD_TOLERANCE = 1e-9; // loads that differ by less count as equal
  // Below the minimum gain, as the estimate leaves out the load of other models that also moves.
  private static final double MINIMUM_ESTIMATE = 0.02;

  /** A move with the index of its engine and its gain. Immutable. */
  record ScoredMove(ReplicaMove move, int engine, double gain) {}

  /** A model that an engine could load, with the estimated gain. */
  private record CandidateMove(ModelProfile model, int engine, double estimate) {}

  private final List<EngineView> engines;
  private final Map<String, ModelProfile> sizes = new HashMap<>();
  private final Map<String, DemandTracker.Demand> demands;
  private final Map<String, Double> offeredLoad = new HashMap<>();
  private final List<Set<String>> held = new ArrayList<>();
  private final Set<Integer> enginesWithMove = new HashSet<>();
  private final Map<String, List<Integer>> holders = new HashMap<>();
  private int evaluations;

  ReplicaDraft(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, DemandTracker.Demand> demands) {
    this.engines = engines;
    this.demands = demands;
    models.forEach(model -> sizes.put(model.name(), model));
    for (int index = 0; index < engines.size(); index++) {
      held.add(new HashSet<>(engines.get(index).held()));
      for (String model : engines.get(index).counted()) {
        holders.computeIfAbsent(model, ignored -> new ArrayList<>()).add(index);
      }
    }
    for (ModelProfile model : models) {
      double tokens = demandFor(model.name()).tokensPerSecond();
      offeredLoad.put(
          model.name(), tokens * model.weightsMegabytes() * ENGINES_PER_TOKEN_AND_MEGABYTE);
    }
  }

  /** Returns how often the load of all models was distributed again. */
  int evaluations() {
    return evaluations;
  }

  Optional<ScoredMove> best(int storeLoads) {
    LoadDistribution distribution = distribution();
    double before = cost(distribution);
    ScoredMove best = null;
    for (CandidateMove candidate : mostPromising(distribution, storeLoads)) {
      Optional<ScoredMove> scored =
          evaluate(candidate.model(), candidate.engine(), storeLoads, before);
      if (scored.isPresent() && (best == null || scored.get().gain() > best.gain())) {
        best = scored.get();
      }
    }
    return Optional.ofNullable(best);
  }

  void apply(ScoredMove scored) {
    enginesWithMove.add(scored.engine());
    scored.move().unload().forEach(model -> remove(model, scored.engine()));
    add(scored.move().load(), scored.engine());
  }

  private List<CandidateMove> mostPromising(LoadDistribution distribution, int storeLoads) {
    List<CandidateMove> candidates = new ArrayList<>();
    for (ModelProfile model : sizes.values()) {
      if (!hasRecentDemand(model.name())) {
        continue;
      }
      Replicas replicas = replicas(model.name(), distribution);
      for (int index = 0; index < engines.size(); index++) {
        if (!engines.get(index).acceptsOrders()
            || enginesWithMove.contains(index)
            || held.get(index).contains(model.name())
            || !mayLoad(model, index, storeLoads)) {
          continue;
        }
        double estimate = estimate(model, index, replicas, distribution.load(index));
        if (estimate >= MINIMUM_ESTIMATE) {
          candidates.add(new CandidateMove(model, index, estimate));
        }
      }
    }
    candidates.sort(Comparator.comparingDouble(CandidateMove::estimate).reversed());
    int evaluated =
        Math.max(MINIMUM_EVALUATIONS, ENGINE_EVALUATION_BUDGET / Math.max(1, engines.size()));
    return candidates.size() > evaluated ? candidates.subList(0, evaluated) : candidates;
  }

  private boolean mayLoad(ModelProfile model, int index, int storeLoads) {
    if (!fitsLimit(model.name(), index)) {
      return false;
    }
    boolean served = !holders.getOrDefault(model.name(), List.of()).isEmpty();
    int reservedStoreLoads = served ? RESERVED_STORE_LOADS : 0;
    return !model.loadsFromStore(engines.get(index)) || storeLoads > reservedStoreLoads;
  }

  /** Returns whether an engine with a request limit could serve the model besides its others. */
  private boolean fitsLimit(String model, int index) {
    OptionalDouble limit = engines.get(index).requestsPerSecond();
    if (limit.isEmpty()) {
      return true;
    }
    Set<String> models = new HashSet<>(held.get(index));
    models.removeIf(each -> !countsAsHolder(each, index));
    models.add(model);
    return LimitedReplicas.fits(models, limit.getAsDouble(), demands);
  }

  private boolean countsAsHolder(String model, int index) {
    return holders.getOrDefault(model, List.of()).contains(index);
  }

  /** The number of replicas that share a model's load, and the load of their engines. */
  private record Replicas(int count, double level) {}

  private Replicas replicas(String model, LoadDistribution distribution) {
    List<Integer> indices = holders.getOrDefault(model, List.of());
    double level = indices.stream().mapToDouble(distribution::load).min().orElse(0);
    int count =
        (int)
            indices.stream()
                .filter(index -> distribution.load(index) <= level + LOAD_TOLERANCE)
                .count();
    return new Replicas(count, level);
  }

  /** Estimates the gain of a replica as if only the load of its own model moved. */
  private double estimate(ModelProfile model, int index, Replicas replicas, double load) {
    double modelLoad = offeredLoad.getOrDefault(model.name(), 0.0);
    double gain;
    if (replicas.count() == 0) {
      gain =
          UNSERVED_COST_PER_ENGINE * modelLoad
              + UNSERVED_COST_PER_WAITING * demandFor(model.name()).waiting()
              - costIncrease(load, modelLoad);
    } else {
      double balancing = (replicas.level() - load) * replicas.count() / (replicas.count() + 1.0);
      double moved = Math.min(modelLoad, balancing);
      if (moved <= 0) {
        return 0;
      }
      gain =
          -replicas.count() * costIncrease(replicas.level(), -moved / replicas.count())
              - costIncrease(load, moved);
    }
    EngineView engine = engines.get(index);
    double remainingShare = 1 - model.loadMilliseconds(engine) / DEMAND_DURATION_MILLISECONDS;
    double loadCost = model.loadsFromStore(engine) ? STORE_LOAD_COST : 0;
    return gain * Math.max(0, remainingShare) - loadCost;
  }

  /** Returns how much an engine's cost increases with additional load. */
  private static double costIncrease(double load, double added) {
    return (load + added) * (load + added) - load * load;
  }

  private Optional<ScoredMove> evaluate(
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
    double remainingShare = 1 - time / DEMAND_DURATION_MILLISECONDS;
    double gain = (costBefore - cost(distribution())) * Math.max(0, remainingShare);
    remove(model.name(), index);
    victims.get().forEach(victim -> add(victim, index));
    double loadCost = fromStore ? STORE_LOAD_COST : 0;
    if (gain - loadCost < MINIMUM_GAIN) {
      return Optional.empty();
    }
    ReplicaMove move = new ReplicaMove(engine.id(), victims.get(), model.name(), fromStore, time);
    return Optional.of(new ScoredMove(move, index, gain - loadCost));
  }

  /** Returns the models to unload; empty if that frees too little memory. */
  private Optional<List<String>> victims(ModelProfile model, int index) {
    EngineView engine = engines.get(index);
    double free = engine.capacityMegabytes() - engine.reservedMegabytes() - heldMegabytes(index);
    List<String> removable =
        held.get(index).stream()
            .filter(each -> isEvictable(each, index))
            .sorted(Comparator.comparingDouble(each -> evictionCost(each, engine.id())))
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

  /**
   * Returns whether a replica may be unloaded. An idle model may lose its last replica, as it can
   * be loaded from disk again before the deadline of a request.
   */
  private boolean isEvictable(String model, int index) {
    DemandTracker.Demand demand = demandFor(model);
    boolean idle =
        demand.waiting() == 0
            && demand.running() == 0
            && demand.idleMilliseconds() >= MINIMUM_IDLE_MILLISECONDS;
    int replicas = holders.getOrDefault(model, List.of()).size();
    return idle || replicas > (countsAsHolder(model, index) ? 1 : 0);
  }

  private int runsAt(String model, String engine) {
    return demandFor(model).runningAt().getOrDefault(engine, 0);
  }

  private double evictionCost(String model, String engine) {
    int replicas = holders.getOrDefault(model, List.of()).size();
    double perReplica = offeredLoad.getOrDefault(model, 0.0) / Math.max(1, replicas);
    return perReplica + RUNNING_REQUEST_WEIGHT * runsAt(model, engine);
  }

  private double cost(LoadDistribution distribution) {
    double cost = distribution.cost();
    for (ModelProfile model : sizes.values()) {
      boolean unserved = holders.getOrDefault(model.name(), List.of()).isEmpty();
      if (unserved && hasRecentDemand(model.name())) {
        DemandTracker.Demand demand = demandFor(model.name());
        cost += UNSERVED_COST_PER_ENGINE * offeredLoad.getOrDefault(model.name(), 0.0);
        cost += UNSERVED_COST_PER_WAITING * demand.waiting();
      }
    }
    return cost;
  }

  private LoadDistribution distribution() {
    return LoadDistribution.of(engines.size(), offeredLoad, holders);
  }

  private boolean hasRecentDemand(String model) {
    return demandFor(model).idleMilliseconds() < RECENT_DEMAND_MILLISECONDS;
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
