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
 * Makes the replicas that even out the engines' work most, models without a replica first.
 *
 * <p>Answers the load pattern of a few models with most of the demand and many with little, where
 * the few change within seconds: demand that moves finds more replicas within a load's time, and
 * models that nobody asks for make way. Invariants: the last replica of a model with requests that
 * wait or run, or that was asked for in the last second, is never given up; an engine is never
 * filled beyond its memory; each engine gets at most one move, and only if it can take an order.
 * Stateless.
 */
public final class DemandReplicaPolicy implements ReplicaPolicy {
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
  private static final int CANDIDATE_ENGINES = 12; // bounds the time of a plan on large fleets

  @Override
  public List<ReplicaMove> plan(
      List<EngineView> engines,
      List<ModelSize> models,
      Map<String, DemandBook.Demand> demands,
      int storeLoads) {
    Draft draft = new Draft(engines, models, demands);
    List<ReplicaMove> moves = new ArrayList<>();
    int storeLoadsLeft = storeLoads;
    Optional<Scored> best = draft.best(storeLoadsLeft);
    while (best.isPresent()) {
      ReplicaMove move = best.get().move();
      moves.add(move);
      draft.apply(best.get());
      if (move.fromStore()) {
        storeLoadsLeft--;
      }
      best = draft.best(storeLoadsLeft);
    }
    return moves;
  }

  private record Scored(ReplicaMove move, int engine, double gain) {}

  /** The state that is planned on; engines are named by their index. */
  private static final class Draft {
    private final List<EngineView> engines;
    private final Map<String, ModelSize> sizes = new HashMap<>();
    private final Map<String, DemandBook.Demand> demands;
    private final Map<String, Double> work = new HashMap<>();
    private final List<Set<String>> held = new ArrayList<>();
    private final Set<Integer> ordered = new HashSet<>();
    private final Map<String, List<Integer>> holders = new HashMap<>();

    Draft(
        List<EngineView> engines, List<ModelSize> models, Map<String, DemandBook.Demand> demands) {
      this.engines = engines;
      this.demands = demands;
      models.forEach(model -> sizes.put(model.name(), model));
      for (int index = 0; index < engines.size(); index++) {
        held.add(new HashSet<>(engines.get(index).held()));
        for (String model : engines.get(index).held()) {
          holders.computeIfAbsent(model, ignored -> new ArrayList<>()).add(index);
        }
      }
      for (ModelSize model : models) {
        double tokens = demandFor(model.name()).tokensPerSecond();
        work.put(model.name(), tokens * model.weightsMegabytes() * ENGINES_PER_TOKEN_AND_MEGABYTE);
      }
    }

    Optional<Scored> best(int storeLoads) {
      RunnerShares shares = shares();
      double before = cost(shares);
      List<Integer> targets = targets(shares);
      Scored best = null;
      for (ModelSize model : sizes.values()) {
        if (!isAskedFor(model.name())) {
          continue;
        }
        for (int engine : targets) {
          Optional<Scored> candidate = candidate(model, engine, storeLoads, before);
          if (candidate.isPresent() && (best == null || candidate.get().gain() > best.gain())) {
            best = candidate.get();
          }
        }
      }
      return Optional.ofNullable(best);
    }

    void apply(Scored scored) {
      ordered.add(scored.engine());
      scored.move().unload().forEach(model -> remove(model, scored.engine()));
      add(scored.move().load(), scored.engine());
    }

    private List<Integer> targets(RunnerShares shares) {
      List<Integer> targets = new ArrayList<>();
      for (int index = 0; index < engines.size(); index++) {
        if (engines.get(index).orderable() && !ordered.contains(index)) {
          targets.add(index);
        }
      }
      targets.sort(Comparator.comparingDouble(shares::load));
      return targets.size() > CANDIDATE_ENGINES ? targets.subList(0, CANDIDATE_ENGINES) : targets;
    }

    private Optional<Scored> candidate(
        ModelSize model, int index, int storeLoads, double costBefore) {
      EngineView engine = engines.get(index);
      boolean fromStore = model.comesFromStore(engine);
      boolean served = !holders.getOrDefault(model.name(), List.of()).isEmpty();
      int storeLoadsKept = served ? STORE_LOADS_KEPT : 0;
      if (held.get(index).contains(model.name()) || (fromStore && storeLoads <= storeLoadsKept)) {
        return Optional.empty();
      }
      Optional<List<String>> victims = victims(model, index);
      if (victims.isEmpty()) {
        return Optional.empty();
      }
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

    /** Returns what must make way; empty if the engine cannot hold the model. */
    private Optional<List<String>> victims(ModelSize model, int index) {
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
      DemandBook.Demand demand = demandFor(model);
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

    private double cost(RunnerShares shares) {
      double cost = shares.cost();
      for (ModelSize model : sizes.values()) {
        boolean unserved = holders.getOrDefault(model.name(), List.of()).isEmpty();
        if (unserved && isAskedFor(model.name())) {
          DemandBook.Demand demand = demandFor(model.name());
          cost += UNSERVED_COST_PER_ENGINE * work.getOrDefault(model.name(), 0.0);
          cost += UNSERVED_COST_PER_WAITING * demand.waiting();
        }
      }
      return cost;
    }

    private RunnerShares shares() {
      return RunnerShares.of(engines.size(), work, holders);
    }

    private boolean isAskedFor(String model) {
      return demandFor(model).idleMilliseconds() < ASKED_FOR_MILLISECONDS;
    }

    private DemandBook.Demand demandFor(String model) {
      return demands.getOrDefault(model, DemandBook.Demand.NONE);
    }

    private double heldMegabytes(int index) {
      return held.get(index).stream().mapToDouble(this::weights).sum();
    }

    private double weights(String model) {
      ModelSize size = sizes.get(model);
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
}
