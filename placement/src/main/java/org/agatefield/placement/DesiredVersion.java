package org.agatefield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.VersionId;

/**
 * A version that must be resident according to the configuration. Immutable.
 *
 * @param version the version
 * @param size the memory of one replica
 * @param minimumReplicas number of runners that must hold it
 * @param share its share of the deployment's requests, above 0 and at most 1
 */
record DesiredVersion(VersionId version, ReplicaSize size, int minimumReplicas, double share) {
  /** Returns every version with a weight above 0, largest first. */
  static List<DesiredVersion> of(ConfigurationDocument configuration) {
    List<DesiredVersion> wanted = new ArrayList<>();
    for (Deployment deployment : configuration.deployments()) {
      double weights =
          deployment.versions().stream().mapToInt(DeploymentVersion::weight).asLongStream().sum();
      for (DeploymentVersion version : deployment.versions()) {
        if (version.weight() > 0) {
          VersionId id = new VersionId(deployment.name(), version.name());
          wanted.add(
              new DesiredVersion(
                  id,
                  ReplicaSize.of(configuration, id),
                  deployment.minimumReplicas(),
                  version.weight() / weights));
        }
      }
    }
    wanted.sort(
        Comparator.comparingLong((DesiredVersion each) -> each.size().totalMegabytes())
            .reversed()
            .thenComparing(each -> each.version().engineName()));
    return wanted;
  }
}
