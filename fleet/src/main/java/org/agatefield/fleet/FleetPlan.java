package org.agatefield.fleet;

import java.util.List;
import org.agatefield.model.FailureDomain;

/**
 * Which processes a fleet consists of. Immutable.
 *
 * @param instances daemons
 * @param engines stand-ins of model engines
 * @param services stand-ins of plain services
 * @param models what the engines serve
 * @param weights limits of the weight store
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
   * @param failureDomain where it lies
   */
  public record Entry(String name, FailureDomain failureDomain) {}

  /**
   * A stand-in of a model engine. Immutable.
   *
   * @param name unique in the fleet
   * @param failureDomain where it lies
   * @param memoryMegabytes its accelerator memory
   * @param checksFencingTokens whether it refuses orders with an old fencing token
   * @param tokenMilliseconds time of one step of its batch
   * @param batch most requests that it runs at once
   */
  public record Engine(
      String name,
      FailureDomain failureDomain,
      long memoryMegabytes,
      boolean checksFencingTokens,
      int tokenMilliseconds,
      int batch) {

    /** Creates an engine with the usual speed. */
    public Engine(
        String name,
        FailureDomain failureDomain,
        long memoryMegabytes,
        boolean checksFencingTokens) {
      this(name, failureDomain, memoryMegabytes, checksFencingTokens, 5, 16);
    }
  }

  /**
   * A stand-in of a plain service's runner. Immutable.
   *
   * @param name unique in the fleet
   * @param service the service's name
   * @param failureDomain where it lies
   */
  public record Service(String name, String service, FailureDomain failureDomain) {}

  /**
   * A deployment with its adapters. Immutable.
   *
   * @param name the deployment's name
   * @param memoryMegabytes accelerator memory of its one version
   * @param replicas the least number of replicas
   * @param adapters names of its adapters
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
   * @param loadsPerSecond loads that may start each second
   * @param concurrentLoads loads at once at full speed
   * @param adapterLoadsInFlight adapter loads at once at full speed
   */
  public record Weights(double loadsPerSecond, int concurrentLoads, int adapterLoadsInFlight) {}
}
