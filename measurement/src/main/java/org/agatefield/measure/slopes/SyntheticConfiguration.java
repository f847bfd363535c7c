package org.agatefield.measure.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.ServiceCall;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.WeightStoreLimits;
import org.apache.commons.codec.digest.DigestUtils;

/** Creates configuration documents of a given size. Stateless. */
final class SyntheticConfiguration {
  private static final int CALLERS = 40;
  private static final int ADAPTERS_PER_MODEL = 4;
  private static final int ACCELERATORS_PER_RUNNER = 4;
  private static final long MODEL_MEGABYTES = 16_000;
  private static final long RUNNER_MEGABYTES = 320_000;
  private static final int DOMAINS = 11;
  private static final int REGIONS = 3;

  private SyntheticConfiguration() {}

  static ConfigurationDocument of(long generation, int models, int runners) {
    List<Deployment> deployments = new ArrayList<>();
    List<Adapter> adapters = new ArrayList<>();
    for (int model = 0; model < models; model++) {
      String name = "model-" + model;
      deployments.add(
          new Deployment(
              name,
              List.of(new DeploymentVersion("v1", MODEL_MEGABYTES, 1)),
              Priority.INTERACTIVE,
              2));
      for (int adapter = 0; adapter < ADAPTERS_PER_MODEL; adapter++) {
        adapters.add(new Adapter(name + "-adapter-" + adapter, name, 200));
      }
    }
    List<Caller> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String token = DigestUtils.sha256Hex("caller-" + caller);
      callers.add(new Caller("caller-" + caller, token, 1, Priority.INTERACTIVE));
    }
    PlainService booking =
        new PlainService(
            "booking",
            List.of(new ServiceCall("POST", "/bookings", false)),
            Optional.of("/outcomes/{key}"),
            20_000);
    return new ConfigurationDocument(
        generation,
        deployments,
        adapters,
        callers,
        List.of(booking),
        upstreams(runners),
        new WeightStoreLimits(1.5, 6, 50));
  }

  private static List<Upstream> upstreams(int runners) {
    List<Upstream> upstreams = new ArrayList<>();
    for (int runner = 0; runner < runners; runner++) {
      int domain = runner % DOMAINS;
      upstreams.add(
          new Upstream(
              "runner-" + runner,
              UpstreamKind.MODEL_RUNNER,
              new Address("10.1." + runner / 250 + "." + (1 + runner % 250), 8_000),
              new FailureDomain("region-" + domain % REGIONS, "domain-" + domain),
              ACCELERATORS_PER_RUNNER,
              RUNNER_MEGABYTES,
              runner % 2 == 0,
              Optional.empty()));
    }
    return upstreams;
  }
}
