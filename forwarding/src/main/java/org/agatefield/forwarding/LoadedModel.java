package org.agatefield.forwarding;

import java.util.Set;

/**
 * A model that a runner holds. Immutable.
 *
 * @param name the model's name
 * @param adapters the adapters of it that the runner holds
 */
public record LoadedModel(String name, Set<String> adapters) {
  /** Copies the set. */
  public LoadedModel {
    adapters = Set.copyOf(adapters);
  }
}
