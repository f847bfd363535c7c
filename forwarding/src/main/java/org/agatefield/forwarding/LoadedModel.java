package org.agatefield.forwarding;

import java.util.Set;

/**
 * A model that is loaded on a runner. Immutable.
 *
 * @param name the model's name
 * @param adapters the adapters of the model that are loaded on the runner
 */
public record LoadedModel(String name, Set<String> adapters) {
  /** Copies the set. */
  public LoadedModel {
    adapters = Set.copyOf(adapters);
  }
}
