package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;

/** Instances of a fleet that has no network. Stateless. */
final class TestInstances {
  private TestInstances() {}

  /** Returns the instances of equally large failure domains of one region, sorted by identifier. */
  static List<Instance> of(int domains, int instancesPerDomain) {
    List<Instance> instances = new ArrayList<>();
    for (int domain = 0; domain < domains; domain++) {
      for (int number = 0; number < instancesPerDomain; number++) {
        String id = "d" + domain + "-" + (char) ('a' + number / 26) + (char) ('a' + number % 26);
        Address address = new Address("127.0.0.1", 1 + instances.size());
        instances.add(
            new Instance(
                id,
                address,
                address,
                new FailureDomain("region", "d" + domain),
                InstanceState.LIVE));
      }
    }
    return instances;
  }
}
