package org.agatefield.model;

import java.util.List;

/**
 * A model that callers can request. Immutable.
 *
 * @param name the name that callers send as {@code model}
 * @param versions at least one; versions with a weight above 0 stay loaded
 * @param priority the highest priority that requests to it may have
 * @param minimumReplicas minimum number of runners for each version with a weight above 0; at least
 *     1
 */
public record Deployment(
    String name, List<DeploymentVersion> versions, Priority priority, int minimumReplicas) {
  /** Copies the list. */
  public Deployment {
    versions = List.copyOf(versions);
  }
}
