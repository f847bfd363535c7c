package org.agatefield.fleet;

import java.util.List;
import org.agatefield.model.FailureDomain;

/**
 * Describes the processes of a fleet and the models they serve. Immutable.
 *
 * @param instances the daemons
 * @param engines the stand-ins for model engines
 * @param services the stand-ins for runners of plain services
 * @param models the deployments that the engines serve
 * @param weights the limits of the weight store
 */
public record FleetPlan(
    List<Entry> instances,
    List<Engine> engines,
    List<Service> services,
    List<Model> models,
    Weights weights) {

  /** Copies the lists. */
  public FleetPlan {
    instances = List.copyOf(instances);
    engines = List.copyOf(engines);
    services = List.copyOf(services);
    models = List.copyOf(models);
  }

  /**
   * A daemon. Immutable.
   *
   * @param name unique in the fleet
   * @param failureDomain the failure domain it runs in
   */
  public record Entry(String name, FailureDomain failureDomain) {}

  /**
   * A stand-in for a model engine. Immutable.
   *
   * @param name unique in the fleet
   * @param failureDomain the failure domain it runs in
   * @param memoryMegabytes its accelerator memory in MB
   * @param checksFencingTokens whether it rejects orders with an outdated fencing token
   * @param tokenMilliseconds duration of one step of its batch
   * @param batch maximum batch size: requests that it runs concurrently
   */
  public record Engine(
      String name,
      FailureDomain failureDomain,
      long memoryMegabytes,
      boolean checksFencingTokens,
      int tokenMilliseconds,
      int batch) {

    /**
     * Creates an engine with the default speed: 5 ms for each step, at most 16 requests in a batch.
     */
    public Engine(
        String name,
        FailureDomain failureDomain,
        long memoryMegabytes,
        boolean checksFencingTokens) {
      this(name, failureDomain, memoryMegabytes, checksFencingTokens, 5, 16);
    }
  }

  /**
   * A stand-in for a runner of a plain service. Immutable.
   *
   * @param name unique in the fleet
   * @param service the service's name
   * @param failureDomain the failure domain it runs in
   */
  public record Service(String name, String service, FailureDomain failureDomain) {}

  /**
   * A deployment with its adapters. Immutable.
   *
   * @param name the deployment's name
   * @param memoryMegabytes accelerator memory in MB of its only version
   * @param replicas the minimum number of replicas
   * @param adapters the names of its adapters
   */
  public record Model(String name, long memoryMegabytes, int replicas, List<String> adapters) {
    /** Copies the list. */
    public Model {
      adapters = List.copyOf(adapters);
    }
  }

  /**
   * Limits of the weight store. Immutable.
   *
   * @param loadsPerSecond maximum loads started per second
   * @param concurrentLoads maximum concurrent loads at full speed
   * @param adapterLoadsInFlight maximum concurrent adapter loads at full speed
   */
  public record Weights(double loadsPerSecond, int concurrentLoads, int adapterLoadsInFlight) {}
}
