package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Priority;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.WeightStoreLimits;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates random configurations whose versions fit the engines. Stateless. */
final class TestConfigurations {
  private static final int DEPLOYMENTS = 4;

  private TestConfigurations() {}

  static ConfigurationDocument random(UniformRandomProvider random, List<SimulatedEngine> engines) {
    List<Deployment> deployments = new ArrayList<>();
    List<Adapter> adapters = new ArrayList<>();
    for (int i = 0; i < DEPLOYMENTS; i++) {
      if (random.nextInt(5) == 0) {
        continue;
      }
      String name = "m" + i;
      int current = random.nextInt(2);
      deployments.add(
          new Deployment(
              name,
              List.of(
                  new DeploymentVersion("v0", 10 + i, 1 - current),
                  new DeploymentVersion("v1", 10 + i, current)),
              Priority.STANDARD,
              1 + random.nextInt(2)));
      for (int j = 0; j < 3; j++) {
        if (random.nextBoolean()) {
          adapters.add(new Adapter(name + "-a" + j, name, 3 + j));
        }
      }
    }
    return new ConfigurationDocument(
        1,
        deployments,
        adapters,
        List.of(),
        List.of(),
        engines.stream().map(TestConfigurations::upstream).toList(),
        new WeightStoreLimits(100, 4, 50));
  }

  static Upstream upstream(SimulatedEngine engine) {
    return new Upstream(
        engine.name,
        UpstreamKind.MODEL_RUNNER,
        new Address("127.0.0.1", 1),
        new FailureDomain("region", engine.name),
        1,
        engine.memoryMegabytes,
        engine.checksFencingTokens,
        Optional.empty());
  }

  static List<DemandSample> demand(
      UniformRandomProvider random, ConfigurationDocument configuration) {
    return configuration.deployments().stream()
        .map(
            each ->
                new DemandSample(
                    each.name(), "region", random.nextDouble() * 10, 0, random.nextDouble() * 3))
        .toList();
  }
}
