package org.agatefield.daemon.peers;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.agatefield.model.DemandSample;
import org.agatefield.peer.PeerMessage;

/** Adds up demand reports. Stateless. */
final class DemandSum {
  private DemandSum() {}

  private record Key(String deployment, String region) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byDeployment = deployment.compareTo(other.deployment);
      return byDeployment != 0 ? byDeployment : region.compareTo(other.region);
    }
  }

  /** Returns the sums of all reports, one sample for each deployment and region. */
  static List<DemandSample> of(Collection<PeerMessage.DemandReport> reports) {
    Map<Key, DemandSample> sums = new TreeMap<>();
    for (PeerMessage.DemandReport report : reports) {
      for (DemandSample sample : report.samples()) {
        sums.merge(new Key(sample.deployment(), sample.region()), sample, DemandSample::plus);
      }
    }
    return List.copyOf(sums.values());
  }

  /** Returns one report that combines all of {@code reports}; its age is that of the oldest. */
  static PeerMessage.DemandReport report(
      String instance, Collection<PeerMessage.DemandReport> reports) {
    long age = 0;
    int instances = 0;
    for (PeerMessage.DemandReport report : reports) {
      age = Math.max(age, report.ageMilliseconds());
      instances += report.instances();
    }
    return new PeerMessage.DemandReport(instance, of(reports), age, instances);
  }
}
