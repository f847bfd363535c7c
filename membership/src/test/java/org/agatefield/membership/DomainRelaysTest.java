package org.agatefield.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.junit.jupiter.api.Test;

class DomainRelaysTest {
  private static Instance instance(String domain, int number, InstanceState state) {
    Address address = new Address("10.0.0." + number, 80);
    return new Instance(
        domain + '-' + number, address, address, new FailureDomain("r", domain), state);
  }

  private static List<Instance> domain(String name, int size) {
    List<Instance> instances = new ArrayList<>();
    for (int number = 1; number <= size; number++) {
      instances.add(instance(name, number, InstanceState.LIVE));
    }
    return instances;
  }

  private static void countDeliveries(
      Instance sender,
      List<Instance> alive,
      List<Instance> answering,
      Map<String, Integer> deliveries) {
    DomainRelays relays = new DomainRelays(sender, alive, answering);
    relays.neighbours().forEach(each -> deliveries.merge(each.id(), 1, Integer::sum));
    relays.directPeers().forEach(each -> deliveries.merge(each.id(), 1, Integer::sum));
    for (Instance relay : relays.relays()) {
      deliveries.merge(relay.id(), 1, Integer::sum);
      new DomainRelays(relay, alive, answering)
          .neighbours()
          .forEach(each -> deliveries.merge(each.id(), 1, Integer::sum));
    }
  }

  @Test
  void smallFailureDomainsHaveNoRelayAndWatchTheStoreThemselves() {
    List<Instance> all = new ArrayList<>(domain("a", 3));
    all.addAll(domain("b", 2));
    for (Instance self : all) {
      DomainRelays relays = new DomainRelays(self, all, all);
      assertTrue(relays.sources().isEmpty());
      assertTrue(relays.relays().isEmpty());
      assertTrue(relays.representsDomain());
    }
  }

  @Test
  void largeFailureDomainHasOneRelay() {
    List<Instance> all = domain("a", 9);
    assertEquals(
        1,
        all.stream().filter(self -> new DomainRelays(self, all, all).representsDomain()).count());
  }

  @Test
  void oneInstancePerRegionWatchesTheStoreForAllLargeFailureDomains() {
    List<Instance> all = new ArrayList<>(domain("a", 5));
    all.addAll(domain("b", 6));
    all.addAll(domain("c", 7));
    List<Instance> watching =
        all.stream().filter(self -> new DomainRelays(self, all, all).sources().isEmpty()).toList();
    assertEquals(List.of(all.get(0)), watching);
    assertEquals(
        3,
        all.stream().filter(self -> new DomainRelays(self, all, all).representsDomain()).count());
  }

  @Test
  void onlyAnsweringRelayOfRegionWatchesTheStoreItself() {
    List<Instance> all = new ArrayList<>(domain("a", 5));
    all.addAll(domain("b", 6));
    List<Instance> answering = all.subList(5, 11);
    DomainRelays relays = new DomainRelays(all.get(5), all, answering);
    assertTrue(relays.sources().isEmpty());
  }

  @Test
  void suspectedOrLeavingInstanceIsNotSelectedAsRelay() {
    List<Instance> all = new ArrayList<>(domain("a", 6));
    all.set(1, instance("a", 2, InstanceState.LEAVING));
    List<Instance> answering = all.subList(1, 6);
    DomainRelays relays = new DomainRelays(instance("b", 1, InstanceState.LIVE), all, answering);
    assertEquals(List.of(all.get(2)), relays.relays());
    assertFalse(new DomainRelays(all.get(4), all, answering).sources().contains(all.get(0)));
  }

  @Property(tries = 300, seed = "41")
  void everyOtherInstanceGetsBroadcastOnceAndSourcesHaveNoCycles(@ForAll long seed) {
    Random random = new Random(seed);
    List<Instance> alive = new ArrayList<>();
    int domains = 1 + random.nextInt(6);
    for (int domain = 0; domain < domains; domain++) {
      int size = random.nextInt(12);
      for (int number = 0; number < size; number++) {
        InstanceState state = random.nextInt(5) == 0 ? InstanceState.LEAVING : InstanceState.LIVE;
        alive.add(instance("d" + domain, number, state));
      }
    }
    if (alive.isEmpty()) {
      return;
    }
    List<Instance> answering = alive.stream().filter(each -> random.nextInt(5) > 0).toList();
    Instance sender = alive.get(random.nextInt(alive.size()));
    Map<String, Integer> deliveries = new HashMap<>();
    countDeliveries(sender, alive, answering, deliveries);
    for (Instance each : alive) {
      int expected = each.equals(sender) ? 0 : 1;
      assertEquals(expected, deliveries.getOrDefault(each.id(), 0), each.id());
      DomainRelays relays = new DomainRelays(each, alive, answering);
      for (Instance source : relays.sources()) {
        assertTrue(source.id().compareTo(each.id()) < 0);
        assertEquals(each.failureDomain().region(), source.failureDomain().region());
        assertEquals(
            relays.representsDomain(), !each.failureDomain().equals(source.failureDomain()));
        if (relays.representsDomain()) {
          assertTrue(new DomainRelays(source, alive, answering).representsDomain());
        }
      }
    }
  }
}
