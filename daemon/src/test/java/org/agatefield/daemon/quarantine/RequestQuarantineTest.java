package org.agatefield.daemon.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.model.Address;
import org.junit.jupiter.api.Test;

/** Simulates instances that share what they know about requests that crash runners. */
class RequestQuarantineTest {
  private static final int INSTANCES = 5;

  private SimulatedInstances fleet = new SimulatedInstances(INSTANCES, new Random(35));
  private int crashes;

  private void crash(SimulatedInstances.Simulated at, String... traits) {
    crashes++;
    Map<String, Integer> positions = new HashMap<>();
    for (String trait : traits) {
      positions.put(trait, positions.size());
    }
    UpstreamProcess process =
        new UpstreamProcess("i-" + crashes, crashes, new Address("10.1.0.1", 80), false);
    at.quarantine().crashed(process, positions);
  }

  @Test
  void crashesAtDifferentInstancesConvictTheirCommonPartEverywhere() {
    crash(fleet.get(0), "a", "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(3), "b", "deadly");
    fleet.runFor(400);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
    assertEquals(0, fleet.quarantinedAt("a") + fleet.quarantinedAt("b"));
    assertEquals(Set.of("deadly"), fleet.store().keySet());
  }

  @Test
  void survivalAtAnotherInstanceClearsSuspect() {
    fleet.get(4).quarantine().survived(List.of("sound"));
    crash(fleet.get(0), "sound");
    fleet.runFor(1_000);
    crash(fleet.get(1), "sound");
    fleet.runFor(2_000);
    assertEquals(0, fleet.quarantinedAt("sound"));
  }

  @Test
  void lastPartThatAloneIsDeadlyIsConvictedBesideSoundSharedParts() {
    fleet.get(4).quarantine().survived(List.of("first", "customer", "sound"));
    crash(fleet.get(0), "first", "customer", "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(1), "first", "customer", "deadly");
    fleet.runFor(1_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
    assertEquals(0, fleet.quarantinedAt("first") + fleet.quarantinedAt("customer"));
  }

  @Test
  void sessionThatAnotherInstanceServedIsSoundThoughItsPartIsAtEachCrash() {
    fleet.get(4).quarantine().survived(List.of("first", "session"));
    for (int number = 0; number < 3; number++) {
      crash(fleet.get(number), "first", "deadly", "session");
      fleet.runFor(1_000);
    }
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
    assertEquals(0, fleet.quarantinedAt("session"));
  }

  @Test
  void crashesThatEarlierBuildsReportWithoutLastPartsDoNotHideThem() {
    fleet.get(4).quarantine().survived(List.of("first", "customer", "sound"));
    crash(fleet.get(0), "first", "customer", "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(1), "first", "customer");
    fleet.runFor(1_000);
    crash(fleet.get(2), "first", "customer", "deadly");
    fleet.runFor(1_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
    assertEquals(0, fleet.quarantinedAt("first") + fleet.quarantinedAt("customer"));
  }

  @Test
  void survivalsAreSharedOnceAndForSuspectsOnly() {
    SimulatedInstances.Simulated serving = fleet.get(0);
    for (int request = 0; request < 1_000; request++) {
      serving.quarantine().survived(List.of("first", "own" + request));
    }
    assertEquals(0, fleet.broadcasts());
    crash(fleet.get(1), "last");
    fleet.runFor(1_000);
    final int before = fleet.broadcasts();
    serving.quarantine().survived(List.of("first", "last"));
    serving.quarantine().survived(List.of("first", "last"));
    assertEquals(1, fleet.broadcasts() - before);
  }

  @Test
  void survivalInFlightEndsQuarantineEverywhere() {
    crash(fleet.get(0), "sound");
    fleet.runFor(1_000);
    crash(fleet.get(1), "sound");
    fleet.runFor(1_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("sound"));
    fleet.get(2).quarantine().survived(List.of("sound"));
    fleet.runFor(5_000);
    assertEquals(0, fleet.quarantinedAt("sound"));
    assertTrue(fleet.store().isEmpty());
  }

  @Test
  void quarantineOfInstancesThatWereCutOffYieldsToThoseThatServedThePart() {
    SimulatedInstances.Simulated alone = fleet.get(0);
    alone.cut();
    crash(alone, "sound");
    fleet.runFor(1_000);
    crash(alone, "sound");
    fleet.runFor(500);
    assertTrue(alone.isQuarantined("sound"));
    for (int second = 0; second < 12; second++) {
      fleet.get(1).quarantine().survived(List.of("sound"));
      fleet.runFor(1_000);
    }
    fleet.healAll();
    fleet.runFor(6_000);
    assertEquals(0, fleet.quarantinedAt("sound"));
  }

  @Test
  void lateMessagesDoNotRenewAnEndedQuarantine() {
    final SimulatedInstances.Simulated late = fleet.get(4);
    crash(fleet.get(0), "sound");
    fleet.runFor(1_000);
    crash(fleet.get(1), "sound");
    fleet.runFor(20);
    late.cut();
    fleet.runFor(3_000);
    fleet.get(2).quarantine().survived(List.of("sound"));
    fleet.runFor(3_000);
    fleet.healAll();
    fleet.runFor(5_000);
    assertEquals(0, fleet.quarantinedAt("sound"));
  }

  @Test
  void quarantineEndsAfterItsTimeAndOneMoreCrashOfTwoRenewsIt() {
    crash(fleet.get(0), "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(1), "deadly");
    fleet.runFor(RequestQuarantine.DURATION_MILLISECONDS + 5_000);
    assertEquals(0, fleet.quarantinedAt("deadly"));
    assertTrue(fleet.store().isEmpty());
    crash(fleet.get(0), "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(1), "deadly");
    fleet.runFor(1_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
  }

  @Test
  void instanceThatIsCutOffFromOthersLearnsFromTheStoreAfterItsFirstCrash() {
    SimulatedInstances.Simulated alone = fleet.get(0);
    alone.cut();
    crash(fleet.get(1), "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(2), "deadly");
    fleet.runFor(4_000);
    assertFalse(alone.isQuarantined("deadly"));
    crash(alone, "deadly");
    fleet.runFor(1_500);
    assertTrue(alone.isQuarantined("deadly"));
  }

  @Test
  void quarantineThatTheStoreHasLostOutlivesAllProcesses() {
    crash(fleet.get(0), "deadly");
    fleet.runFor(1_000);
    crash(fleet.get(1), "deadly");
    fleet.runFor(4_000);
    fleet.restore(Map.of());
    fleet.runFor(1_000);
    fleet.instances().forEach(SimulatedInstances.Simulated::start);
    fleet.runFor(1_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
  }

  @Test
  void quarantineThatIsOverDoesNotComeBackWithTheStore() {
    crash(fleet.get(0), "sound");
    fleet.runFor(1_000);
    crash(fleet.get(1), "sound");
    fleet.runFor(4_000);
    final Map<String, SimulatedInstances.Stored> copy = fleet.store();
    fleet.get(2).quarantine().survived(List.of("sound"));
    fleet.runFor(5_000);
    fleet.restore(copy);
    fleet.runFor(1_000);
    fleet.instances().forEach(SimulatedInstances.Simulated::start);
    fleet.runFor(1_000);
    assertEquals(0, fleet.quarantinedAt("sound"));
  }

  @Property(tries = 300, seed = "3503")
  void knowledgeHoldsThroughCutsRestartsKillsOfAllAndEarlierBuilds(@ForAll long luck) {
    Random random = new Random(luck);
    fleet = new SimulatedInstances(INSTANCES, random);
    for (int number = 0; number < 2 + random.nextInt(3); number++) {
      crash(fleet.get(random.nextInt(INSTANCES)), "deadly", "new" + number);
      fleet.runFor(300 + random.nextInt(2_000));
    }
    fleet.runFor(4_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
    for (int step = 0; step < 12; step++) {
      trouble(random);
      fleet.runFor(random.nextInt(3_000));
    }
    fleet.setStoreAvailable(true);
    fleet.instances().forEach(instance -> instance.setEarlierBuild(false));
    fleet.healAll();
    fleet.runFor(10_000);
    assertEquals(INSTANCES, fleet.quarantinedAt("deadly"));
  }

  private void trouble(Random random) {
    SimulatedInstances.Simulated instance = fleet.get(random.nextInt(INSTANCES));
    switch (random.nextInt(7)) {
      case 0 -> instance.cut();
      case 1 -> instance.heal();
      case 2 -> instance.start();
      case 3 -> fleet.setStoreAvailable(!fleet.isStoreAvailable());
      case 4 -> instance.setEarlierBuild(!instance.isEarlierBuild());
      case 5 -> {
        // What the store has lost and no process knows is gone.
        if (fleet.isStoreAvailable() && fleet.quarantinedAt("deadly") > 0) {
          fleet.restore(Map.of());
        }
      }
      default -> fleet.restartAll();
    }
  }
}
