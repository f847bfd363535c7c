package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The model engines of a service. Immutable.
 *
 * @param batchSlots requests that one engine runs at once
 * @param cacheTokens tokens that one engine's memory holds
 * @param weightsMegabytes memory of one engine for weights and adapters
 * @param adapterSlots adapters that one engine can hold
 * @param loadsPerSecond loads that the weight store allows over all engines
 * @param models the models that may be asked for
 */
public record EnginePool(
    int batchSlots,
    long cacheTokens,
    double weightsMegabytes,
    int adapterSlots,
    double loadsPerSecond,
    List<ServedModel> models) {
  /** Copies the list. */
  public EnginePool {
    models = List.copyOf(models);
  }

  /** Returns a model by its name. */
  public Optional<ServedModel> model(String name) {
    return models.stream().filter(each -> each.name().equals(name)).findFirst();
  }
}
