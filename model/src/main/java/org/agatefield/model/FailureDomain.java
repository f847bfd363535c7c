package org.agatefield.model;

/**
 * A set of instances and upstreams that may fail together. Immutable.
 *
 * @param region the region that contains the failure domain
 * @param name the name, unique within the region
 */
public record FailureDomain(String region, String name) {
  @Override
  public String toString() {
    return region + "/" + name;
  }
}
