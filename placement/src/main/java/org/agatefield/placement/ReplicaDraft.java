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
 * <p>Every possible move is estimated from the level of the engine and of the model's replicas and
 * from what its victims are worth; only those with the highest estimates are evaluated, by
 * distributing the load of the models of that engine again. Models and engines are identified by
 * their index. Invariants: no engine holds more than its memory; each gets at most one move; the
 * last replica of a model in use is not unloaded. Confined to one thread.
 */
final class ReplicaDraft {
  private static final long RECENT_DEMAND_MILLISECONDS = 6_000; // longer than most callers wait
  // Requests for a model without a replica are all lost; on overloaded engines only some are.
  private static final double UNSERVED_COST_PER_ENGINE = 8;
  private static final double UNSERVED_COST_PER_WAITING = 0.15;
  // The next request for a model without a replica waits for a load.
  private static final double RELOAD_COST_PER_MILLISECOND = 0.06 / 1_000;
  private static final double RELOAD_COST = 0.06; // occupies the engine for other orders
  // A model of less load gains little from being loaded at once.
  private static final double RARE_LOAD = 0.1;
  // A load from the store occupies an engine for seconds, in which demand shifts elsewhere.
  private static final double SPARE_ENGINES_SHARE = 1.0 / 3;
  private static final double MINIMUM_GAIN = 0.12; // an engine executes one order at a time
  private static final long MINIMUM_IDLE_MILLISECONDS = 1_000; // several demand reports
  private static final double DEMAND_DURATION_MILLISECONDS = 9_000; // until other models are busy
  private static final double DRAIN_MILLISECONDS = 3_000; // unloading waits for streams to end
  private static final double RUNNING_REQUEST_WEIGHT = 0.1;
  private static final double STORE_LOAD_COST = 0.03; // the store's rate is shared and paid for
  private static final int RESERVED_STORE_LOADS = 1; // for models without a replica
  // An evaluation distributes the load over all engines, so fewer fit into a tick on large fleets.
  private static final int ENGINE_EVALUATION_BUDGET = 2_500;
  private static final int MINIMUM_EVALUATIONS = 40;
  // Below the minimum gain, as the estimate leaves out the load of other models that also moves.
  private static final double MINIMUM_ESTIMATE = 0.02;

  /** A move with the index of its engine and its gain. Immutable. */
  record ScoredMove(ReplicaMove move, int engine, double gain) {}

  /** A model that an engine could load, with what it would unload and the estimated gain. */
  private record CandidateMove(int model, int engine, List<Integer> victims, double estimate) {}

  /** A replica that an engine may unload, with what that costs. */
  private record Removable(int model, double cost) {}

  private final List<EngineView> engines;
  private final List<ModelProfile> models;
  private final Map<String, DemandTracker.Demand> demandsByName;
  private final Map<String, Integer> indices = new HashMap<>();
  private final DemandTracker.Demand[] demands;
  private final double[] offeredLoad;
  private final double[] speeds;
  private final List<Set<String>> held = new ArrayList<>();
  private final Set<Integer> enginesWithMove = new HashSet<>();
  private final List<List<Integer>> holders = new ArrayList<>();
  private LoadDistribution distribution;
  private int evaluations;

  ReplicaDraft(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, DemandTracker.Demand> demands) {
    this.engines = engines;
    this.models = models;
    this.demandsByName = demands;
    this.demands = new DemandTracker.Demand[models.size()];
    this.offeredLoad = new double[models.size()];
    this.speeds = engines.stream().mapToDouble(EngineView::speed).toArray();
    for (int model = 0; model < models.size(); model++) {
      ModelProfile profile = models.get(model);
      indices.put(profile.name(), model);
      this.demands[model] = demands.getOrDefault(profile.name(), DemandTracker.Demand.NONE);
      offeredLoad[model] = profile.work().engines(this.demands[model]);
      holders.add(new ArrayList<>());
    }
    for (int engine = 0; engine < engines.size(); engine++) {
      held.add(new HashSet<>(engines.get(engine).held()));
      for (String name : engines.get(engine).counted()) {
        if (indices.containsKey(name)) {
          holders.get(indices.get(name)).add(engine);
        }
      }
    }
    distribution = new LoadDistribution(speeds, offeredLoad, holders);
  }

  /** Returns how often the load of an engine's models was distributed again. */
  int evaluations() {
    return evaluations;
  }

  /** Returns the load of a model in engines of speed 1. */
  double offeredLoad(String model) {
    return offeredLoad[indices.get(model)];
  }

  Optional<ScoredMove> best(int storeLoads) {
    ScoredMove best = null;
    for (CandidateMove candidate : mostPromising(storeLoads)) {
      Optional<ScoredMove> scored = evaluate(candidate);
      if (scored.isPresent() && (best == null || scored.get().gain() > best.gain())) {
        best = scored.get();
      }
    }
    return Optional.ofNullable(best);
  }

  void apply(ScoredMove scored) {
    enginesWithMove.add(scored.engine());
    scored.move().unload().forEach(model -> remove(model, scored.engine()));
    add(indices.get(scored.move().load()), scored.engine());
    distribution = new LoadDistribution(speeds, offeredLoad, holders);
  }

  private List<CandidateMove> mostPromising(int storeLoads) {
    List<CandidateMove> candidates = new ArrayList<>();
    List<List<Removable>> removable = new ArrayList<>();
    for (int engine = 0; engine < engines.size(); engine++) {
      boolean available = engines.get(engine).acceptsOrders() && !enginesWithMove.contains(engine);
      removable.add(available ? removable(engine) : List.of());
    }
    for (int model = 0; model < models.size(); model++) {
      if (!hasRecentDemand(model)) {
        continue;
      }
      LoadDistribution.Replicas replicas = distribution.replicas(model);
      for (int engine = 0; engine < engines.size(); engine++) {
        if (!engines.get(engine).acceptsOrders()
            || enginesWithMove.contains(engine)
            || held.get(engine).contains(models.get(model).name())
            || !mayLoad(model, engine, storeLoads)) {
          continue;
        }
        double gain = estimate(model, engine, replicas);
        if (gain < MINIMUM_ESTIMATE) {
          continue;
        }
        candidate(model, engine, gain, removable.get(engine)).ifPresent(candidates::add);
      }
    }
    candidates.sort(Comparator.comparingDouble(CandidateMove::estimate).reversed());
    int evaluated =
        Math.max(MINIMUM_EVALUATIONS, ENGINE_EVALUATION_BUDGET / Math.max(1, engines.size()));
    return candidates.size() > evaluated ? candidates.subList(0, evaluated) : candidates;
  }

  private boolean mayLoad(int model, int engine, int storeLoads) {
    if (!fitsLimit(models.get(model).name(), engine)) {
      return false;
    }
    if (!models.get(model).loadsFromStore(engines.get(engine))) {
      return true;
    }
    int reservedStoreLoads = holders.get(model).isEmpty() ? 0 : RESERVED_STORE_LOADS;
    return storeLoads > reservedStoreLoads
        && (offeredLoad[model] >= RARE_LOAD || hasSpareEngines());
  }

  /** Returns whether engines are left to load a busy model at once, as each takes one order. */
  private boolean hasSpareEngines() {
    long available = engines.stream().filter(EngineView::acceptsOrders).count();
    return available - enginesWithMove.size() > SPARE_ENGINES_SHARE * engines.size();
  }

  /** Returns whether an engine with a request limit could serve the model besides its others. */
  private boolean fitsLimit(String model, int engine) {
    OptionalDouble limit = engines.get(engine).requestsPerSecond();
    if (limit.isEmpty()) {
      return true;
    }
    Set<String> served = new HashSet<>(held.get(engine));
    served.removeIf(each -> !countsAsHolder(each, engine));
    served.add(model);
    return LimitedReplicas.fits(served, limit.getAsDouble(), demandsByName);
  }

  private boolean countsAsHolder(String model, int engine) {
    Integer index = indices.get(model);
    return index != null && holders.get(index).contains(engine);
  }

  /** Estimates the gain of a replica as if only the load of its own model moved. */
  private double estimate(int model, int engine, LoadDistribution.Replicas replicas) {
    double modelLoad = offeredLoad[model];
    double level = distribution.level(engine);
    if (replicas.speed() == 0) {
      return unservedCost(model) - costIncrease(level, modelLoad, speeds[engine]);
    }
    double difference = replicas.level() - level;
    double balancing =
        difference * replicas.speed() * speeds[engine] / (replicas.speed() + speeds[engine]);
    double moved = Math.min(modelLoad, balancing);
    return moved <= 0
        ? 0
        : -costIncrease(replicas.level(), -moved, replicas.speed())
            - costIncrease(level, moved, speeds[engine]);
  }

  /** Returns how much the cost of engines at a level increases with additional load. */
  private static double costIncrease(double level, double added, double speed) {
    return (2 * level + added / speed) * added;
  }

  private Optional<CandidateMove> candidate(
      int model, int engine, double gain, List<Removable> removable) {
    EngineView view = engines.get(engine);
    double needed = models.get(model).weightsMegabytes();
    double free = view.capacityMegabytes() - view.reservedMegabytes() - heldMegabytes(engine);
    List<Integer> victims = new ArrayList<>();
    double evictionCost = 0;
    for (Removable each : removable) {
      if (free >= needed) {
        break;
      }
      victims.add(each.model());
      evictionCost += each.cost();
      free += models.get(each.model()).weightsMegabytes();
    }
    if (free < needed) {
      return Optional.empty();
    }
    double net = value(model, engine, victims, gain - evictionCost);
    return net < MINIMUM_ESTIMATE
        ? Optional.empty()
        : Optional.of(new CandidateMove(model, engine, victims, net));
  }

  /** Returns what is left of a gain after the time and the cost of the move. */
  private double value(int model, int engine, List<Integer> victims, double gain) {
    double time = moveMilliseconds(model, engine, victims);
    double remainingShare = Math.max(0, 1 - time / DEMAND_DURATION_MILLISECONDS);
    boolean fromStore = models.get(model).loadsFromStore(engines.get(engine));
    return gain * remainingShare - (fromStore ? STORE_LOAD_COST : 0);
  }

  /** Returns what it costs that the victims serve nobody until the model is loaded. */
  private double lossMeanwhile(CandidateMove candidate, double costIncrease) {
    double time = moveMilliseconds(candidate.model(), candidate.engine(), candidate.victims());
    return Math.max(0, costIncrease) * Math.min(1, time / DEMAND_DURATION_MILLISECONDS);
  }

  private double moveMilliseconds(int model, int engine, List<Integer> victims) {
    EngineView view = engines.get(engine);
    boolean drains = victims.stream().anyMatch(victim -> runsAt(victim, view.id()) > 0);
    return models.get(model).loadMilliseconds(view) + (drains ? DRAIN_MILLISECONDS : 0);
  }

  private Optional<ScoredMove> evaluate(CandidateMove candidate) {
    evaluations++;
    int engine = candidate.engine();
    final double before = distribution.cost() + unservedCosts(candidate);
    List<Integer> changed = new ArrayList<>(candidate.victims());
    for (String name : held.get(engine)) {
      Integer model = indices.get(name);
      if (model != null && !changed.contains(model)) {
        changed.add(model);
      }
    }
    changed.add(candidate.model());
    candidate.victims().forEach(victim -> holders.get(victim).remove(Integer.valueOf(engine)));
    final double meanwhile = distribution.afterChangeOf(changed).cost() + unservedCosts(candidate);
    holders.get(candidate.model()).add(engine);
    final double after = distribution.afterChangeOf(changed).cost() + unservedCosts(candidate);
    holders.get(candidate.model()).remove(Integer.valueOf(engine));
    candidate
        .victims()
        .forEach(
            victim -> {
              if (engines.get(engine).counted().contains(models.get(victim).name())) {
                holders.get(victim).add(engine);
              }
            });
    double gain =
        value(candidate.model(), engine, candidate.victims(), before - after)
            - lossMeanwhile(candidate, meanwhile - before);
    if (gain < minimumGain(candidate.model())) {
      return Optional.empty();
    }
    ModelProfile model = models.get(candidate.model());
    ReplicaMove move =
        new ReplicaMove(
            engines.get(engine).id(),
            candidate.victims().stream().map(victim -> models.get(victim).name()).toList(),
            model.name(),
            model.loadsFromStore(engines.get(engine)),
            moveMilliseconds(candidate.model(), engine, candidate.victims()));
    return Optional.of(new ScoredMove(move, engine, gain));
  }

  /** Returns the least gain of a move; requests without any replica never wait for a larger one. */
  private double minimumGain(int model) {
    boolean awaited = holders.get(model).isEmpty() && demands[model].waiting() > 0;
    return awaited ? MINIMUM_ESTIMATE : MINIMUM_GAIN;
  }

  /** Returns what it costs that the models of a move have no replica, as far as they have none. */
  private double unservedCosts(CandidateMove candidate) {
    double cost = holders.get(candidate.model()).isEmpty() ? unservedCost(candidate.model()) : 0;
    for (int victim : candidate.victims()) {
      cost += holders.get(victim).isEmpty() ? unservedCost(victim) : 0;
    }
    return cost;
  }

  private double unservedCost(int model) {
    DemandTracker.Demand demand = demands[model];
    double expected = demand.usualRequestsPerSecond() * DEMAND_DURATION_MILLISECONDS / 1_000;
    double reload =
        RELOAD_COST + RELOAD_COST_PER_MILLISECOND * models.get(model).storeLoadMilliseconds();
    double cost = reload * Math.min(1, expected);
    if (!isIdle(demand) && hasRecentDemand(model)) {
      cost += UNSERVED_COST_PER_ENGINE * offeredLoad[model];
      cost += UNSERVED_COST_PER_WAITING * demand.waiting();
    }
    return cost;
  }

  /** Returns the replicas that an engine may unload, those that cost the least first. */
  private List<Removable> removable(int engine) {
    List<Removable> removable = new ArrayList<>();
    for (String name : held.get(engine)) {
      Integer model = indices.get(name);
      if (model != null && isEvictable(model, engine)) {
        removable.add(new Removable(model, evictionCost(model, engine)));
      }
    }
    removable.sort(
        Comparator.comparingDouble(Removable::cost)
            .thenComparing(each -> demands[each.model()].usualRequestsPerSecond()));
    return removable;
  }

  /**
   * Returns whether a replica may be unloaded. An idle model may lose its last replica, as it can
   * be loaded again before the deadline of a request.
   */
  private boolean isEvictable(int model, int engine) {
    int others = holders.get(model).size() - (holders.get(model).contains(engine) ? 1 : 0);
    return isIdle(demands[model]) || others > 0;
  }

  private static boolean isIdle(DemandTracker.Demand demand) {
    return demand.waiting() == 0
        && demand.running() == 0
        && demand.idleMilliseconds() >= MINIMUM_IDLE_MILLISECONDS;
  }

  private int runsAt(int model, String engine) {
    return demands[model].runningAt().getOrDefault(engine, 0);
  }

  private double evictionCost(int model, int engine) {
    List<Integer> replicas = holders.get(model);
    double runs = RUNNING_REQUEST_WEIGHT * runsAt(model, engines.get(engine).id());
    double others = 0;
    for (int each : replicas) {
      others += each == engine ? 0 : speeds[each];
    }
    if (others == 0) {
      return unservedCost(model) + runs;
    }
    double part = distribution.part(model, engine);
    return part * part / others + runs;
  }

  private boolean hasRecentDemand(int model) {
    return demands[model].idleMilliseconds() < RECENT_DEMAND_MILLISECONDS;
  }

  private double heldMegabytes(int engine) {
    return held.get(engine).stream().mapToDouble(this::weights).sum();
  }

  private double weights(String model) {
    Integer index = indices.get(model);
    return index == null ? Double.MAX_VALUE / 4 : models.get(index).weightsMegabytes();
  }

  private void add(int model, int engine) {
    held.get(engine).add(models.get(model).name());
    holders.get(model).add(engine);
  }

  private void remove(String model, int engine) {
    held.get(engine).remove(model);
    holders.get(indices.get(model)).remove(Integer.valueOf(engine));
  }
}
