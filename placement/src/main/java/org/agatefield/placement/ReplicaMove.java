package org.agatefield.placement;

import java.util.List;

/**
 * A replica that is to be made on a runner. Immutable.
 *
 * @param runner the runner's identifier
 * @param unload models that make way, in order
 * @param load the model to load afterwards
 * @param fromStore whether it is loaded from the weight store
 * @param loadMilliseconds how long that is expected to take
 */
public record ReplicaMove(
    String runner, List<String> unload, String load, boolean fromStore, double loadMilliseconds) {
  /** Copies the list. */
  public ReplicaMove {
    unload = List.copyOf(unload);
  }
}
