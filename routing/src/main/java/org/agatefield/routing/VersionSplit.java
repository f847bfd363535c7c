package org.agatefield.routing;

import java.util.Comparator;
import java.util.List;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;

/**
 * Splits the requests of a deployment between its versions by weight.
 *
 * <p>Invariant: the same request goes to the same version for as long as the weights stay, at every
 * instance; a change of one weight moves only the share that it must. Immutable.
 */
public final class VersionSplit {
  private VersionSplit() {}

  /**
   * Returns the versions with a weight above 0, the request's own first; the others stand in for it
   * in that order where it has no replica.
   *
   * @param requestHash the same for retries of a request
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
