package org.agatefield.placement;

import java.util.Set;

/**
 * A model engine as the planner sees it. Immutable.
 *
 * @param id the runner's identifier
 * @param failureDomain the name of its failure domain
 * @param capacityMegabytes memory for weights and adapters
 * @param reservedMegabytes memory that adapters and unanswered orders may take
 * @param held the models that it holds or that an unanswered order may still load
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
 * @param acceptsOrders whether it can take an order now
 */
public record EngineView(
    String id,
    String failureDomain,
    double capacityMegabytes,
    double reservedMegabytes,
    Set<String> held,
    Set<String> inHostMemory,
    Set<String> onDisk,
    boolean acceptsOrders) {
  /** Copies the sets. */
  public EngineView {
    held = Set.copyOf(held);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }
}
