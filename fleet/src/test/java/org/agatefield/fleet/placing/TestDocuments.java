package org.agatefield.fleet.placing;

import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;

/** Derives variants of configuration documents for tests. Stateless. */
final class TestDocuments {
  private TestDocuments() {}

  /** Returns the document with each deployment reduced to version v1 of the given size. */
  static ConfigurationDocument withMemory(ConfigurationDocument document, long megabytes) {
    return withVersion(document, "v1", megabytes);
  }

  /** Returns the document with each deployment reduced to the given version. */
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
