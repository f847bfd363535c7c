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
 * Uses the time before there is any demand to leave copies of every model on several engines'
 * disks.
 *
 * <p>Answers the load pattern of demand that moves to models that few engines have at hand: a load
 * from disk takes a fraction of one from the weight store, which also allows few at once. Meant for
 * times without demand only, since each load takes an engine's memory for a while. Invariants: a
 * model is given up only if it stays at hand on its engine; no engine's disk is filled beyond its
 * size. Stateless.
 */
public final class WarmCopyPolicy implements ReplicaPolicy {
  private static final int WANTED_COPIES = 3; // one of them is likely to be free to load

  @Override
  public List<ReplicaMove> plan(
      List<EngineView> engines,
      List<ModelSize> models,
      Map<String, DemandBook.Demand> demands,
      int storeLoads) {
    Map<String, ModelSize> sizes = new HashMap<>();
    models.forEach(model -> sizes.put(model.name(), model));
    Map<String, Integer> copies = new HashMap<>();
    Map<String, Integer> replicas = new HashMap<>();
    for (EngineView engine : engines) {
      atHand(engine).forEach(model -> copies.merge(model, 1, Integer::sum));
      engine.held().forEach(model -> replicas.merge(model, 1, Integer::sum));
    }
    List<ReplicaMove> moves = new ArrayList<>();
    for (EngineView engine : engines) {
      if (!engine.orderable() || moves.size() >= storeLoads) {
        continue;
      }
      Optional<ReplicaMove> move = move(engine, sizes, copies, replicas);
      move.ifPresent(moves::add);
      move.ifPresent(made -> copies.merge(made.load(), 1, Integer::sum));
    }
    return moves;
  }

  private static Optional<ReplicaMove> move(
      EngineView engine,
      Map<String, ModelSize> sizes,
      Map<String, Integer> copies,
      Map<String, Integer> replicas) {
    Set<String> present = atHand(engine);
    double disk = present.stream().mapToDouble(model -> weights(sizes, model)).sum();
    List<ModelSize> wanted =
        sizes.values().stream()
            .filter(model -> !present.contains(model.name()))
            .filter(model -> copies.getOrDefault(model.name(), 0) < WANTED_COPIES)
            .filter(model -> disk + model.weightsMegabytes() <= engine.diskMegabytes())
            .sorted(
                Comparator.<ModelSize>comparingInt(model -> copies.getOrDefault(model.name(), 0))
                    .thenComparing(Comparator.comparingDouble(ModelSize::weightsMegabytes).reversed())
                    .thenComparing(ModelSize::name))
            .toList();
    for (ModelSize model : wanted) {
      Optional<List<String>> victims = victims(engine, model, sizes, copies, replicas);
      if (victims.isPresent()) {
        return Optional.of(new ReplicaMove(engine.id(), victims.get(), model.name(), true));
      }
    }
    return Optional.empty();
  }

  /** Rare models with copies elsewhere go first, then those with the most replicas. */
  private static Optional<List<String>> victims(
      EngineView engine,
      ModelSize model,
      Map<String, ModelSize> sizes,
      Map<String, Integer> copies,
      Map<String, Integer> replicas) {
    double free =
        engine.capacityMegabytes()
            - engine.reservedMegabytes()
            - engine.held().stream().mapToDouble(held -> weights(sizes, held)).sum();
    List<String> removable =
        engine.held().stream()
            .filter(held -> engine.inHostMemory().contains(held) || engine.onDisk().contains(held))
            .sorted(
                Comparator.<String>comparingInt(held -> rank(held, copies, replicas))
                    .thenComparing(held -> held))
            .toList();
    List<String> victims = new ArrayList<>();
    for (String held : removable) {
      if (free >= model.weightsMegabytes()) {
        break;
      }
      victims.add(held);
      free += weights(sizes, held);
    }
    return free >= model.weightsMegabytes() ? Optional.of(victims) : Optional.empty();
  }

  private static int rank(
      String model, Map<String, Integer> copies, Map<String, Integer> replicas) {
    int count = replicas.getOrDefault(model, 0);
    boolean spare = copies.getOrDefault(model, 0) > 1;
    return spare && count <= 2 ? count : Integer.MAX_VALUE - count;
  }

  private static Set<String> atHand(EngineView engine) {
    Set<String> models = new HashSet<>(engine.held());
    models.addAll(engine.inHostMemory());
    models.addAll(engine.onDisk());
    return models;
  }

  private static double weights(Map<String, ModelSize> sizes, String model) {
    ModelSize size = sizes.get(model);
    return size == null ? 0 : size.weightsMegabytes();
  }
}
