package org.agatefield.fleet.placing;

import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;

/** Changes to documents for tests. Has no state. */
final class TestDocuments {
  private TestDocuments() {}

  /** Returns the document with each deployment reduced to one version of that size. */
  static ConfigurationDocument withMemory(ConfigurationDocument document, long megabytes) {
    return withVersion(document, "v1", megabytes);
  }

  /** Returns the document with each deployment reduced to one version. */
  static ConfigurationDocument withVersion(
      ConfigurationDocument document, String version, long megabytes) {
    List<Deployment> deployments =
        document.deployments().stream()
            .map(
                each ->
                    new Deployment(
                        each.name(),
                        List.of(new DeploymentVersion(version, megabytes, 1)),
                        each.priority(),
                        each.minimumReplicas()))
            .toList();
    return new ConfigurationDocument(
        document.generation(),
        deployments,
        document.adapters(),
        document.callers(),
        document.services(),
        document.upstreams(),
        document.weightStore());
  }
}
