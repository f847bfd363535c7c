package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.junit.jupiter.api.Test;

/** Callers of one failure domain, each of which picks one of the instances that it is told. */
class EntrySelectionTest {
  private static final FailureDomain NORTH = new FailureDomain("region", "north");
  private static final FailureDomain SOUTH = new FailureDomain("region", "south");
  private static final FailureDomain ABROAD = new FailureDomain("abroad", "far");
  private static final int CALLERS = 4_000;

  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, InstanceLoad> loads = new HashMap<>();
  private final Map<String, DomainLoad> domains = new HashMap<>();

  private void add(String id, FailureDomain domain, long milliprocessors, long delay) {
    Address address = new Address("127.0.0.1", 1_000 + instances.size());
    instances.add(new Instance(id, address, address, domain, InstanceState.LIVE));
    loads.put(id, new InstanceLoad(milliprocessors, delay));
  }

  private List<Instance> entries(String caller) {
    return EntrySelection.entriesFor(
        NORTH, caller, instances, new EntrySelection.Loads(loads, domains));
  }

  /** Returns the share of the callers that each instance gets. */
  private Map<String, Double> shares() {
    Map<String, Double> shares = new HashMap<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      List<Instance> entries = entries("caller-" + caller);
      entries.forEach(each -> shares.merge(each.id(), 1.0 / entries.size() / CALLERS, Double::sum));
    }
    return shares;
  }

  private double shareOf(FailureDomain domain) {
    Map<String, Double> shares = shares();
    return instances.stream()
        .filter(each -> each.failureDomain().equals(domain))
        .mapToDouble(each -> shares.getOrDefault(each.id(), 0.0))
        .sum();
  }

  private void addUnevenDomain() {
    add("big-1", NORTH, 1_500, 0);
    add("big-2", NORTH, 1_500, 0);
    add("middle-1", NORTH, 900, 0);
    add("middle-2", NORTH, 900, 0);
    for (int number = 1; number <= 6; number++) {
      add("small-" + number, NORTH, 270, 0);
    }
  }

  @Test
  void bigInstancesGetTheLargerPartOfTheCallersOfAnUnevenDomain() {
    addUnevenDomain();
    Map<String, Double> shares = shares();
    double big = shares.get("big-1") + shares.get("big-2");
    double capacityShare = 3_000.0 / (3_000 + 2 * 900 + 6 * 270);
    assertEquals(capacityShare, big, 0.1, shares.toString());
  }

  @Test
  void everyInstanceIsNamedToSomeCallers() {
    addUnevenDomain();
    assertEquals(instances.size(), shares().size());
  }

  @Test
  void instanceThatIsBehindGetsFewerCallersUntilItHasCaughtUp() {
    for (int number = 1; number <= 8; number++) {
      add("equal-" + number, NORTH, 500, number == 1 ? 400 : 0);
    }
    assertTrue(shares().get("equal-1") < 0.5 / 8);
    loads.put("equal-1", new InstanceLoad(500, 0));
    assertEquals(1.0 / 8, shares().get("equal-1"), 0.001);
  }

  @Test
  void withoutKnownLoadsAllInstancesOfTheDomainAreNamed() {
    addUnevenDomain();
    add("south-1", SOUTH, 500, 0);
    loads.clear();
    assertEquals(10, entries("caller").size());
  }

  @Test
  void callersOfDomainAtItsPeakAreMovedOnlyInPartAndOnlyWithinTheRegion() {
    for (int number = 1; number <= 4; number++) {
      add("north-" + number, NORTH, 500, 200);
      add("south-" + number, SOUTH, 500, 0);
      add("far-" + number, ABROAD, 500, 0);
    }
    domains.put("north", new DomainLoad(2_000, 400));
    domains.put("south", new DomainLoad(2_000, 2_000));
    domains.put("far", new DomainLoad(2_000, 2_000));
    double moved = shareOf(SOUTH);
    assertTrue(moved > 0.2 && moved <= EntrySelection.MAXIMUM_MOVED_SHARE, "moved " + moved);
    assertEquals(0, shareOf(ABROAD));
  }

  @Test
  void domainsThatAreEquallyBehindKeepTheirCallers() {
    for (int number = 1; number <= 4; number++) {
      add("north-" + number, NORTH, 500, 200);
      add("south-" + number, SOUTH, 500, 200);
    }
    domains.put("north", new DomainLoad(2_000, 400));
    domains.put("south", new DomainLoad(2_000, 450));
    assertEquals(0, shareOf(SOUTH));
  }

  @Test
  void callersOfDomainWithoutInstancesAreSentToTheirRegion() {
    add("south-1", SOUTH, 500, 0);
    add("far-1", ABROAD, 500, 0);
    assertEquals(List.of("south-1"), entries("caller").stream().map(Instance::id).toList());
  }

  @Test
  void mostAnswersStayTheSameWhenOneInstanceFallsBehind() {
    addUnevenDomain();
    List<List<Instance>> before = new ArrayList<>();
    for (int caller = 0; caller < 200; caller++) {
      before.add(entries("caller-" + caller));
    }
    loads.put("small-1", new InstanceLoad(270, 400));
    int changed = 0;
    for (int caller = 0; caller < 200; caller++) {
      Set<Instance> others = new HashSet<>(before.get(caller));
      others.removeIf(each -> each.id().equals("small-1"));
      changed += entries("caller-" + caller).containsAll(others) ? 0 : 1;
    }
    assertTrue(changed <= 20, "changed " + changed);
  }

  @Property(tries = 300, seed = "50041")
  void answersAreNeverEmptyAndNameEnoughInstances(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 4_000) Integer> capacities,
      @ForAll @IntRange(max = 60_000) int delay) {
    instances.clear();
    loads.clear();
    capacities.forEach(each -> add("instance-" + instances.size(), NORTH, each, delay));
    int named = entries("caller").size();
    assertTrue(named >= Math.min(EntrySelection.MINIMUM_ENTRIES, instances.size()));
  }
}
