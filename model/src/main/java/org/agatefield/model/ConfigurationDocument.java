package org.agatefield.model;

import java.util.List;
import java.util.Optional;

/**
 * The complete desired configuration. Immutable.
 *
 * <p>Invariant: the generation of an accepted document is one above that of the document that it
 * replaced, and no instance adopts a generation lower than its own.
 *
 * @param generation 0 before the first accepted document, then incremented by 1
 * @param deployments the models
 * @param adapters the adapters of the models
 * @param callers the clients that may send requests
 * @param services plain services
 * @param upstreams the model runners and service runners
 * @param weightStore the limits of the weight store
 */
public record ConfigurationDocument(
    long generation,
    List<Deployment> deployments,
    List<Adapter> adapters,
    List<Caller> callers,
    List<PlainService> services,
    List<Upstream> upstreams,
    WeightStoreLimits weightStore) {

  /** Copies the lists. */
  public ConfigurationDocument {
    deployments = List.copyOf(deployments);
    adapters = List.copyOf(adapters);
    callers = List.copyOf(callers);
    services = List.copyOf(services);
    upstreams = List.copyOf(upstreams);
  }

  /** Returns the document that is active before any was accepted. */
  public static ConfigurationDocument empty() {
    return new ConfigurationDocument(
        0, List.of(), List.of(), List.of(), List.of(), List.of(), new WeightStoreLimits(1, 1, 1));
  }

  /** Returns this document with another generation. */
  public ConfigurationDocument withGeneration(long newGeneration) {
    return new ConfigurationDocument(
        newGeneration, deployments, adapters, callers, services, upstreams, weightStore);
  }

  /** Returns the deployment of that name. */
  public Optional<Deployment> deployment(String name) {
    return deployments.stream().filter(each -> each.name().equals(name)).findFirst();
  }

  /** Returns the adapter of that name. */
  public Optional<Adapter> adapter(String name) {
    return adapters.stream().filter(each -> each.name().equals(name)).findFirst();
  }

  /** Returns the plain service of that name. */
  public Optional<PlainService> service(String name) {
    return services.stream().filter(each -> each.name().equals(name)).findFirst();
  }

  /** Returns the upstream of that name. */
  public Optional<Upstream> upstream(String name) {
    return upstreams.stream().filter(each -> each.name().equals(name)).findFirst();
  }
}
