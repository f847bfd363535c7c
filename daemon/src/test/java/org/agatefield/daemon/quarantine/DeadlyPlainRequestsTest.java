package org.agatefield.daemon.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.forwarding.CrashAttribution;

/**
 * Lets requests of a plain service that crash its runners come again at any instance, beside sound
 * requests, cuts, restarts, troubles of the store and crashes for other reasons.
 */
class DeadlyPlainRequestsTest {
  /** Within this time instances learn of each other's news, and of the store's at their start. */
  static final long CONTACT_MILLISECONDS = 4_000;

  private static final int CRASHES_BEFORE_BOUND = 3;
  private static final int MAXIMUM_LATE_SENDS = 3;
  private static final long TROUBLE_MILLISECONDS = 45_000;
  private static final long CALM_MILLISECONDS = 15_000;
  private static final int POLLED = 2;
  private static final int OCCASIONAL = 8;

  /** The course of one simulated day. */
  private static final class Day {
    private final Random random;
    private final SimulatedInstances fleet;
    private final SimulatedPlainService service;
    private final List<String> deadly = new ArrayList<>();
    private Map<String, SimulatedInstances.Stored> olderStore = Map.of();
    private long storeAvailableSince;
    private int uniqueRequests;

    Day(int instances, int runners, int deadlyRequests, long luck) {
      random = new Random(luck);
      fleet = new SimulatedInstances(instances, random);
      service = new SimulatedPlainService(fleet, runners, random);
      for (int number = 0; number < deadlyRequests; number++) {
        deadly.add("deadly-" + number);
      }
    }

    Day run() {
      soundRequests();
      long first = fleet.now() + 3_000 + random.nextInt(5_000);
      for (String name : deadly) {
        boolean repeatable = random.nextInt(10) < 7;
        // Those that are in hand together begin at the same time.
        fleet.after(
            first - fleet.now(),
            () ->
                arriveAgain(new SimulatedPlainService.Request(name, true, repeatable), 300, 3_000));
      }
      fleet.after(1_000, this::trouble);
      fleet.runFor(TROUBLE_MILLISECONDS);
      fleet.setStoreAvailable(true);
      fleet.setExtraLatency(0);
      fleet.instances().forEach(SimulatedInstances.Simulated::reconnect);
      fleet.runFor(CALM_MILLISECONDS);
      return this;
    }

    private void soundRequests() {
      uniqueRequest(20 + random.nextInt(130));
      for (int number = 0; number < POLLED; number++) {
        arriveAgain(new SimulatedPlainService.Request("polled-" + number, false, true), 150, 500);
      }
      for (int number = 0; number < OCCASIONAL; number++) {
        boolean repeatable = random.nextBoolean();
        SimulatedPlainService.Request request =
            new SimulatedPlainService.Request("occasional-" + number, false, repeatable);
        fleet.after(random.nextInt(15_000), () -> arriveAgain(request, 2_000, 20_000));
      }
    }

    private SimulatedInstances.Simulated anyInstance() {
      return fleet.get(random.nextInt(fleet.instances().size()));
    }

    private void uniqueRequest(int interval) {
      String name = "unique-" + uniqueRequests++;
      service.arrive(
          new SimulatedPlainService.Request(name, false, random.nextBoolean()), anyInstance());
      fleet.after(1 + random.nextInt(2 * interval), () -> uniqueRequest(interval));
    }

    private void arriveAgain(SimulatedPlainService.Request request, int minimum, int maximum) {
      service.arrive(request, anyInstance());
      fleet.after(
          minimum + random.nextInt(maximum - minimum),
          () -> arriveAgain(request, minimum, maximum));
    }

    private void trouble() {
      if (fleet.now() >= TROUBLE_MILLISECONDS) {
        return;
      }
      SimulatedInstances.Simulated instance = anyInstance();
      switch (random.nextInt(9)) {
        case 0 -> cut(instance);
        case 1, 2 -> instance.reconnect();
        case 3 -> instance.restart(downMilliseconds());
        case 4 -> {
          fleet.setStoreAvailable(!fleet.isStoreAvailable());
          storeAvailableSince = fleet.now();
        }
        case 5 -> restore();
        case 6 -> fleet.setExtraLatency(random.nextInt(3) * 1_000);
        case 7 -> service.crashForAnotherReason();
        default -> restartAll();
      }
      fleet.after(500 + random.nextInt(4_000), this::trouble);
    }

    private void cut(SimulatedInstances.Simulated instance) {
      long cut = fleet.instances().stream().filter(SimulatedInstances.Simulated::isCut).count();
      // Two instances at least remain in touch with each other.
      if (cut < fleet.instances().size() - 2) {
        instance.cut();
      }
    }

    /** Returns how long a process takes to be replaced by the next one. */
    private long downMilliseconds() {
      return 500 + random.nextInt(2_500);
    }

    private boolean storeHasBeenAvailable() {
      return fleet.isStoreAvailable() && fleet.now() - storeAvailableSince >= CONTACT_MILLISECONDS;
    }

    private void restore() {
      if (fleet.isStoreAvailable()) {
        fleet.restore(olderStore);
        olderStore = fleet.store();
      }
    }

    /** Restarts all instances, unless the store could not have what they know. */
    private void restartAll() {
      if (storeHasBeenAvailable()) {
        fleet.instances().forEach(instance -> instance.restart(downMilliseconds()));
      }
    }

    /** Returns the sends of a deadly request that the rule counts. */
    List<SimulatedPlainService.Send> lateSends(String name) {
      List<SimulatedPlainService.Crashed> crashes = service.crashes(name);
      if (crashes.size() < CRASHES_BEFORE_BOUND) {
        return List.of();
      }
      long after = crashes.get(CRASHES_BEFORE_BOUND - 1).at() + CONTACT_MILLISECONDS;
      return service.sends(name).stream()
          .filter(send -> send.inTouch() && send.at() > after)
          .toList();
    }

    /** Returns the repeated sound requests that are quarantined at an instance. */
    Set<String> quarantinedSound() {
      Set<String> found = new HashSet<>();
      for (int number = 0; number < Math.max(POLLED, OCCASIONAL); number++) {
        for (String name : List.of("polled-" + number, "occasional-" + number)) {
          if (quarantinedAt(name).stream().anyMatch(count -> count > 0)) {
            found.add(name);
          }
        }
      }
      return found;
    }

    /** Returns the arrivals of unique requests that were refused. */
    long refusedUnique() {
      return service.refusals().keySet().stream()
          .filter(name -> name.startsWith("unique-"))
          .count();
    }

    /** Returns at how many instances each trait of a request is quarantined. */
    private List<Long> quarantinedAt(String name) {
      return new SimulatedPlainService.Request(name, false, true)
          .traits().stream().map(fleet::quarantinedAt).toList();
    }

    private String describe(String name) {
      return service.crashes(name)
          + ", late "
          + lateSends(name)
          + ", quarantined at "
          + quarantinedAt(name);
    }

    @Override
    public String toString() {
      return deadly.stream().map(this::describe).toList().toString();
    }
  }

  @Provide
  Arbitrary<Integer> serviceSizes() {
    return Arbitraries.of(1, 2, 3, 6);
  }

  private static void assertFewLateSends(Day day) {
    for (String name : day.deadly) {
      assertTrue(day.lateSends(name).size() <= MAXIMUM_LATE_SENDS, day::toString);
    }
  }

  private static void assertSoundRequestsAreServed(Day day) {
    assertEquals(Set.of(), day.quarantinedSound(), day::toString);
    assertEquals(0, day.refusedUnique(), day::toString);
  }

  @Property(tries = 300, seed = "4101")
  void deadlyRequestStopsReachingRunners(
      @ForAll @IntRange(min = 3, max = 5) int instances,
      @ForAll("serviceSizes") int runners,
      @ForAll long luck) {
    assertFewLateSends(new Day(instances, runners, 1, luck).run());
  }

  @Property(tries = 300, seed = "4102")
  void twoDeadlyRequestsInHandTogetherStopReachingRunners(
      @ForAll @IntRange(min = 3, max = 5) int instances,
      @ForAll("serviceSizes") int runners,
      @ForAll long luck) {
    assertFewLateSends(new Day(instances, runners, 2, luck).run());
  }

  @Property(tries = 300, seed = "4103")
  void soundRequestsAreServedBesideOneDeadlyRequest(
      @ForAll @IntRange(min = 3, max = 5) int instances,
      @ForAll("serviceSizes") int runners,
      @ForAll long luck) {
    assertSoundRequestsAreServed(new Day(instances, runners, 1, luck).run());
  }

  @Property(tries = 300, seed = "4104")
  void soundRequestsAreServedBesideTwoDeadlyRequests(
      @ForAll @IntRange(min = 3, max = 5) int instances,
      @ForAll("serviceSizes") int runners,
      @ForAll long luck) {
    assertSoundRequestsAreServed(new Day(instances, runners, 2, luck).run());
  }

  private static Set<String> culprits(List<SimulatedPlainService.Fact> facts) {
    CrashAttribution attribution = new CrashAttribution();
    facts.forEach(fact -> fact.addTo(attribution));
    return attribution.culprits(Set.of());
  }

  @Property(tries = 300, seed = "4105")
  void sameFactsInAnyOrderGiveTheSameCulprits(
      @ForAll @IntRange(min = 3, max = 5) int instances,
      @ForAll("serviceSizes") int runners,
      @ForAll @IntRange(min = 1, max = 2) int deadlyRequests,
      @ForAll long luck) {
    Day day = new Day(instances, runners, deadlyRequests, luck).run();
    List<SimulatedPlainService.Fact> facts = new ArrayList<>(day.service.facts());
    Set<String> expected = culprits(facts);
    Collections.reverse(facts);
    assertEquals(expected, culprits(facts), "reversed");
    for (int order = 0; order < 5; order++) {
      Collections.shuffle(facts, day.random);
      assertEquals(expected, culprits(facts), "shuffled");
    }
  }
}
