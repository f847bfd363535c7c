package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.routing.HomeInstances;

/**
 * Determines which instance of each region holds a shared rate, such as the quota of a client
 * account.
 *
 * <p>Instances that see the same members choose the same holders. When an instance joins or leaves,
 * only the rates that it holds move. Confined to one thread.
 */
final class RegionalHolders {
  private final HomeInstances ranking = new HomeInstances(1, 1);
  private final Map<String, Map<String, Instance>> holdersByKey = new HashMap<>();
  private final Map<String, List<Instance>> instancesByRegion = new TreeMap<>();
  private List<Instance> currentInstances = List.of();

  /** Updates the responsive instances; passing the same list object again is free. */
  void update(List<Instance> answering) {
    if (answering == currentInstances) {
      return;
    }
    currentInstances = answering;
    holdersByKey.clear();
    instancesByRegion.clear();
    for (Instance instance : answering) {
      if (instance.state() == InstanceState.LIVE) {
        instancesByRegion
            .computeIfAbsent(instance.failureDomain().region(), region -> new ArrayList<>())
            .add(instance);
      }
    }
  }

  /** Returns the number of live instances in a region. */
  int count(String region) {
    return instancesByRegion.getOrDefault(region, List.of()).size();
  }

  /** Returns the holder of a rate in a region; empty if the region has no live instance. */
  Optional<Instance> holder(String key, String region) {
    return Optional.ofNullable(holders(key).get(region));
  }

  /** Returns the holders of a rate in all other regions. */
  List<Instance> others(String key, String region) {
    return holders(key).entrySet().stream()
        .filter(entry -> !entry.getKey().equals(region))
        .map(Map.Entry::getValue)
        .toList();
  }

  private Map<String, Instance> holders(String key) {
    return holdersByKey.computeIfAbsent(key, this::choose);
  }

  private Map<String, Instance> choose(String key) {
    Map<String, Instance> chosen = new TreeMap<>();
    instancesByRegion.forEach(
        (region, instances) -> {
          List<String> ids = instances.stream().map(Instance::id).toList();
          String first = ranking.homes(key, ids, 1).get(0);
          instances.stream()
              .filter(instance -> instance.id().equals(first))
              .findFirst()
              .ifPresent(instance -> chosen.put(region, instance));
        });
    return chosen;
  }
}
