package org.agatefield.routing;

import java.util.Comparator;
import java.util.List;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;

/**
 * Splits the requests of a deployment between its versions by weight.
 *
 * <p>Invariant: as long as the weights do not change, every instance assigns the same request to
 * the same version; changing one weight reassigns only as many requests as necessary. Stateless.
 */
public final class VersionSplit {
  private VersionSplit() {}

  /**
   * Returns the versions with a weight above 0, the version assigned to the request first; the
   * others replace it, in this order, where it has no replica.
   *
   * @param requestHash the same for all retries of a request
   */
  public static List<DeploymentVersion> ordered(Deployment deployment, String requestHash) {
    if (deployment.versions().size() == 1) {
      return deployment.versions();
    }
    return deployment.versions().stream()
        .filter(version -> version.weight() > 0)
        .sorted(Comparator.comparingDouble(version -> score(version, requestHash)))
        .toList();
  }

  private static double score(DeploymentVersion version, String requestHash) {
    double unit = Hashing.unitInterval(Hashing.hash(requestHash + '\n' + version.name()));
    return -Math.log(unit) / version.weight();
  }
}
