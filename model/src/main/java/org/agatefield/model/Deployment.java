package org.agatefield.model;

import java.util.List;

/**
 * A model that callers can ask for. Immutable.
 *
 * @param name the name that callers send as {@code model}
 * @param versions at least one; each version with a weight above 0 is kept resident
 * @param priority the highest priority that requests to it get
 * @param minimumReplicas runners that each version with a weight above 0 lies on, 1 or more
 */
public record Deployment(
    String name, List<DeploymentVersion> versions, Priority priority, int minimumReplicas) {
  /** Copies the list. */
  public Deployment {
    versions = List.copyOf(versions);
  }
}
