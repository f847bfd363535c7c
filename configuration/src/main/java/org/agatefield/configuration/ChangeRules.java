package org.agatefield.configuration;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;

/** Checks that a document may replace an earlier one. Stateless. */
public final class ChangeRules {
  private ChangeRules() {}

  /** Returns every fault that forbids replacing {@code before} by {@code after}. */
  public static List<ConfigurationFault> check(
      ConfigurationDocument before, ConfigurationDocument after) {
    List<ConfigurationFault> faults = new ArrayList<>();
    for (int i = 0; i < after.deployments().size(); i++) {
      Deployment deployment = after.deployments().get(i);
      for (int j = 0; j < deployment.versions().size(); j++) {
        DeploymentVersion version = deployment.versions().get(j);
        long earlier = memoryOf(before, deployment.name(), version.name());
        if (earlier > 0 && earlier != version.memoryMegabytes()) {
          String path = "$.deployments[" + i + "].versions[" + j + "].memoryMegabytes";
          faults.add(
              new ConfigurationFault(
                  path,
                  version.memoryMegabytes() + " in place of " + earlier,
                  "the memory of a version does not change; add a version of another name"));
        }
      }
    }
    return faults;
  }

  private static long memoryOf(ConfigurationDocument document, String deployment, String version) {
    return document.deployment(deployment).stream()
        .flatMap(each -> each.versions().stream())
        .filter(each -> each.name().equals(version))
        .mapToLong(DeploymentVersion::memoryMegabytes)
        .sum();
  }
}
