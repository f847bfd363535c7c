package org.agatefield.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.ServiceCall;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.WeightStoreLimits;

/** Builds the configuration document of a {@link FleetPlan}. Stateless. */
final class SampleConfiguration {
  private static final long ADAPTER_MEGABYTES = 200;
  private static final long SERVICE_TIMEOUT_MILLISECONDS = 20_000;
  private static final String FIRST_VERSION = "v1";

  private SampleConfiguration() {}

  /**
   * Returns the document, based on generation 0.
   *
   * @param addresses the listen address of each engine and service of the plan, by name
   */
  static ConfigurationDocument of(FleetPlan plan, Map<String, Address> addresses) {
    List<Deployment> deployments = new ArrayList<>();
    List<Adapter> adapters = new ArrayList<>();
    for (FleetPlan.Model model : plan.models()) {
      deployments.add(
          new Deployment(
              model.name(),
              List.of(new DeploymentVersion(FIRST_VERSION, model.memoryMegabytes(), 1)),
              Priority.INTERACTIVE,
              model.replicas()));
      model
          .adapters()
          .forEach(name -> adapters.add(new Adapter(name, model.name(), ADAPTER_MEGABYTES)));
    }
    return new ConfigurationDocument(
        0,
        deployments,
        adapters,
        List.of(),
        services(plan),
        upstreams(plan, addresses),
        new WeightStoreLimits(
            plan.weights().loadsPerSecond(),
            plan.weights().concurrentLoads(),
            plan.weights().adapterLoadsInFlight()));
  }

  private static List<PlainService> services(FleetPlan plan) {
    return plan.services().stream()
        .map(FleetPlan.Service::service)
        .distinct()
        .map(
            name ->
                new PlainService(
                    name,
                    List.of(new ServiceCall("GET", "/", true), new ServiceCall("POST", "/", false)),
                    Optional.of("/outcomes/{key}"),
                    SERVICE_TIMEOUT_MILLISECONDS))
        .toList();
  }

  private static List<Upstream> upstreams(FleetPlan plan, Map<String, Address> addresses) {
    List<Upstream> upstreams = new ArrayList<>();
    for (FleetPlan.Engine engine : plan.engines()) {
      upstreams.add(
          new Upstream(
              engine.name(),
              UpstreamKind.MODEL_RUNNER,
              addresses.get(engine.name()),
              engine.failureDomain(),
              1,
              engine.memoryMegabytes(),
              engine.checksFencingTokens(),
              Optional.empty()));
    }
    for (FleetPlan.Service service : plan.services()) {
      upstreams.add(
          new Upstream(
              service.name(),
              UpstreamKind.SERVICE_RUNNER,
              addresses.get(service.name()),
              service.failureDomain(),
              0,
              0,
              false,
              Optional.of(service.service())));
    }
    return upstreams;
  }
}
