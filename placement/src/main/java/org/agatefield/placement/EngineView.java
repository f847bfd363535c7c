package org.agatefield.placement;

import java.util.OptionalDouble;
import java.util.Set;

/**
 * Describes a model engine to the planner. Immutable.
 *
 * @param id the runner's identifier
 * @param failureDomain the name of its failure domain
 * @param capacityMegabytes memory for weights and adapters
 * @param reservedMegabytes memory that adapters and unconfirmed orders may take
 * @param held models that are loaded or that an unconfirmed order may still load
 * @param counted the held models for which it counts as a replica
 * @param requestsPerSecond the rate of requests that it accepts; empty if it sets no limit
 * @param inHostMemory models whose weights are in its host memory
 * @param onDisk models whose weights are on its disk
 * @param acceptsOrders whether an order can be sent to it now
 * @param speed how many times as fast as an engine of speed 1 it is
 */
public record EngineView(
    String id,
    String failureDomain,
    double capacityMegabytes,
    double reservedMegabytes,
    Set<String> held,
    Set<String> counted,
    OptionalDouble requestsPerSecond,
    Set<String> inHostMemory,
    Set<String> onDisk,
    boolean acceptsOrders,
    double speed) {
  /** Copies the sets. */
  public EngineView {
    held = Set.copyOf(held);
    counted = Set.copyOf(counted);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Creates the view of an engine that does not limit the rate of requests. */
  public EngineView(
      String id,
      String failureDomain,
      double capacityMegabytes,
      double reservedMegabytes,
      Set<String> held,
      Set<String> inHostMemory,
      Set<String> onDisk,
      boolean acceptsOrders) {
    this(
        id,
        failureDomain,
        capacityMegabytes,
        reservedMegabytes,
        held,
        held,
        OptionalDouble.empty(),
        inHostMemory,
        onDisk,
        acceptsOrders);
  }

  /** Creates the view of an engine of speed 1. */
  public EngineView(
      String id,
      String failureDomain,
      double capacityMegabytes,
      double reservedMegabytes,
      Set<String> held,
      Set<String> counted,
      OptionalDouble requestsPerSecond,
      Set<String> inHostMemory,
      Set<String> onDisk,
      boolean acceptsOrders) {
    this(
        id,
        failureDomain,
        capacityMegabytes,
        reservedMegabytes,
        held,
        counted,
        requestsPerSecond,
        inHostMemory,
        onDisk,
        acceptsOrders,
        1);
  }
}
