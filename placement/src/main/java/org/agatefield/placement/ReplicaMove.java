package org.agatefield.placement;

import java.util.List;

/**
 * A planned load of a model on a runner. Immutable.
 *
 * @param runner the runner's identifier
 * @param unload models to unload first, in order
 * @param load the model to load afterwards
 * @param fromStore whether it is loaded from the weight store
 * @param loadMilliseconds expected duration of the load, including draining
 */
public record ReplicaMove(
    String runner, List<String> unload, String load, boolean fromStore, double loadMilliseconds) {
  /** Copies the list. */
  public ReplicaMove {
    unload = List.copyOf(unload);
  }
}
