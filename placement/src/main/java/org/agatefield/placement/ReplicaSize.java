package org.agatefield.placement;

import java.util.Comparator;
import java.util.List;
import org.agatefield.model.Adapter;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.VersionId;

/**
 * The memory that one replica of a version needs. Immutable.
 *
 * @param memoryMegabytes memory of the version alone
 * @param adapters all adapters of its deployment
 */
public record ReplicaSize(long memoryMegabytes, List<AdapterReservation> adapters) {
  /** Copies the list. */
  public ReplicaSize {
    adapters = List.copyOf(adapters);
  }

  /** Returns the configured size of a version; 0 if the version is unknown. */
  public static ReplicaSize of(ConfigurationDocument configuration, VersionId version) {
    long megabytes =
        configuration.deployment(version.deployment()).stream()
            .flatMap(each -> each.versions().stream())
            .filter(each -> each.name().equals(version.version()))
            .mapToLong(DeploymentVersion::memoryMegabytes)
            .sum();
    List<AdapterReservation> adapters =
        configuration.adapters().stream()
            .filter(each -> each.deployment().equals(version.deployment()))
            .sorted(Comparator.comparing(Adapter::name))
            .map(each -> new AdapterReservation(each.name(), each.memoryMegabytes()))
            .toList();
    return new ReplicaSize(megabytes, adapters);
  }

  /** Returns the memory of the version and all adapters. */
  public long totalMegabytes() {
    return memoryMegabytes + adapters.stream().mapToLong(AdapterReservation::memoryMegabytes).sum();
  }
}
