package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The model engines of a service. Immutable.
 *
 * @param batchSlots requests that one engine executes concurrently
 * @param cacheTokens capacity of one engine's KV cache in tokens
 * @param weightsMegabytes memory of one engine for weights and adapters
 * @param adapterSlots the maximum number of adapters loaded in one engine
 * @param loadsPerSecond load operations that the weight store allows over all engines
 * @param models the models that requests may name
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
