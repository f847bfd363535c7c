package org.agatefield.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.agatefield.membership.SimulatedGroup.Node;
import org.agatefield.model.InstanceState;

class MembershipTest {
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();
  private static final long LIMIT_MILLISECONDS = 300_000;
  private static final long SPREAD_LIMIT_MILLISECONDS = 5_000;

  @Property(tries = 40, seed = "11")
  void allMembersFindEachOtherFromOneSeedAddress(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int members) {
    SimulatedGroup group = new SimulatedGroup(seed, SETTINGS);
    makeUnreliable(group);
    group.startMany(members, "north", "south");
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
  }

  @Property(tries = 40, seed = "12")
  void lossDelayAndDuplicationNeverCausePermanentDeaths(@ForAll long seed) {
    SimulatedGroup group = joined(seed, 16, "north", "south");
    makeUnreliable(group);
    group.run(120_000);
    makeReliable(group);
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
  }

  @Property(tries = 100, seed = "21")
  void lossDelayAndDuplicationCauseNoDeaths(@ForAll long seed) {
    assertEquals(0, deathsUnderLoss(seed, SETTINGS));
  }

  @Property(tries = 40, seed = "13")
  void crashedMemberIsDeadEverywhereAndStaysDead(@ForAll long seed) {
    SimulatedGroup group = joined(seed, 16, "north", "south");
    makeUnreliable(group);
    Node crashed = group.nodes.get("m005");
    crashed.crashed = true;
    assertTrue(group.runUntil(() -> isPresentNowhere(group, "m005"), LIMIT_MILLISECONDS));
    Node late = group.start("late", "south", group.nodes.get("m000").address);
    for (int step = 0; step < 600; step++) {
      group.run(100);
      assertTrue(isPresentNowhere(group, "m005"));
    }
    assertTrue(late.presentIds().contains("m000"));
  }

  @Property(tries = 40, seed = "22")
  void memberThatMissedDeathDoesNotReviveTheDead(
      @ForAll long seed, @ForAll @LongRange(min = 60_000, max = 3_600_000) long pause) {
    assertFalse(deadMemberReturns(seed, pause, SETTINGS));
  }

  @Property(tries = 40, seed = "14")
  void pausedMemberDeclaresNobodyDeadWhenItResumes(
      @ForAll long seed, @ForAll @LongRange(min = 2_000, max = 3_600_000) long pause) {
    assertEquals(0, deathsByPausedMember(seed, pause, SETTINGS));
  }

  @Property(tries = 25, seed = "15")
  void partitionedRegionKeepsItsOwnMembersAndRejoins(
      @ForAll long seed, @ForAll @LongRange(min = 1_000, max = 1_800_000) long partition) {
    SimulatedGroup group = joined(seed, 18, "north", "north", "south");
    group.partition("north", "south");
    group.run(partition);
    for (Node node : group.running()) {
      for (Node other : group.running()) {
        boolean expected = node != other && node.region.equals(other.region);
        assertTrue(!expected || node.presentIds().contains(other.id()));
      }
    }
    group.heal();
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
  }

  @Property(tries = 25, seed = "16")
  void rejoiningCausesNoDeathsWithinTheOwnRegion(@ForAll long seed) {
    SimulatedGroup group = joined(seed, 18, "north", "north", "south");
    group.partition("north", "south");
    group.run(300_000);
    group.heal();
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
    group.run(60_000);
    for (Node node : group.running()) {
      for (String dead : node.everDead) {
        assertFalse(node.region.equals(group.nodes.get(dead).region));
      }
    }
  }

  @Property(tries = 40, seed = "17")
  void leavingMemberIsSoonKnownAsLeavingAndNeverAsLiveAgain(@ForAll long seed) {
    SimulatedGroup group = joined(seed, 24, "north", "south");
    makeUnreliable(group);
    Node leaving = group.nodes.get("m007");
    group.leave(leaving);
    Set<Node> informed = new HashSet<>();
    for (int step = 0; step < 1_200; step++) {
      group.run(100);
      for (Node node : group.running()) {
        boolean leavingThere =
            node.membership.find("m007").orElseThrow().instance().state() == InstanceState.LEAVING;
        assertTrue(leavingThere || !informed.contains(node));
        if (leavingThere) {
          informed.add(node);
        }
      }
    }
    assertEquals(24, informed.size());
  }

  @Property(tries = 20, seed = "18")
  void higherGenerationReachesAllMembersWithinSeconds(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 128) int members) {
    SimulatedGroup group = joined(seed, members, "north", "south", "east");
    group.raise(group.nodes.get("m001"), 5);
    assertTrue(
        group.runUntil(
            () ->
                group.running().stream()
                    .allMatch(node -> node.observedGeneration == 5 || node.id().equals("m001")),
            SPREAD_LIMIT_MILLISECONDS));
  }

  @Property(tries = 2, seed = "19")
  void messagesStartedPerIntervalDoNotDependOnGroupSize(@ForAll long seed) {
    for (int members : List.of(8, 64, 160)) {
      SimulatedGroup group = joined(seed, members, "north", "south", "east");
      group.run(60_000);
      List<Long> before = sent(group);
      group.run(100_000);
      long total = 0;
      for (int each = 0; each < members; each++) {
        total += sent(group).get(each) - before.get(each);
      }
      assertTrue(total <= members * 100L * 3, "messages=" + total);
      assertTrue(group.largestMessage <= 2 * SETTINGS.updatesPerPage() + 2);
    }
  }

  @Property(tries = 10, seed = "20")
  void simultaneousRestartOfAllMembersConvergesWithoutBurst(@ForAll long seed) {
    SimulatedGroup group = joined(seed, 48, "north", "south", "east");
    List<Node> old = new ArrayList<>(group.running());
    old.forEach(node -> node.crashed = true);
    Node first = group.start("seed", "north");
    for (int each = 0; each < 48; each++) {
      group.start("new" + each, each % 2 == 0 ? "north" : "south", first.address);
    }
    long start = group.now;
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
    long seconds = 1 + (group.now - start) / 1_000;
    long bound = seconds * 24 + 50;
    group.running().stream()
        .filter(node -> node != first)
        .forEach(node -> assertTrue(node.sent <= bound, node.sent + " above " + bound));
  }

  static long deathsUnderLoss(long seed, MembershipSettings settings) {
    SimulatedGroup group = joined(seed, settings, 16, "north", "south");
    makeUnreliable(group);
    group.run(120_000);
    return group.running().stream().mapToLong(node -> node.deathsSeen.size()).sum();
  }

  static long deathsByPausedMember(long seed, long pause, MembershipSettings settings) {
    SimulatedGroup group = joined(seed, settings, 12, "north", "south");
    Node paused = group.nodes.get("m003");
    Node suspected = group.nodes.get("m004");
    group.pause(suspected);
    assertTrue(group.runUntil(() -> suspects(paused, "m004"), LIMIT_MILLISECONDS));
    group.pause(paused);
    group.resume(suspected);
    group.run(pause);
    final long deathsBefore = deathsOfOthers(group, paused);
    group.resume(paused);
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
    group.run(60_000);
    return deathsOfOthers(group, paused) - deathsBefore;
  }

  /**
   * Returns whether a member other than the one paused during the death revived the dead member.
   */
  static boolean deadMemberReturns(long seed, long pause, MembershipSettings settings) {
    SimulatedGroup group = joined(seed, settings, 12, "north", "south");
    Node paused = group.nodes.get("m003");
    group.pause(paused);
    group.nodes.get("m005").crashed = true;
    group.run(pause);
    group.resume(paused);
    for (int step = 0; step < 600; step++) {
      group.run(100);
      boolean returned =
          group.running().stream()
              .anyMatch(node -> node != paused && node.presentIds().contains("m005"));
      if (returned) {
        return true;
      }
    }
    return false;
  }

  static boolean rejoinsAfterPartition(long seed, long partition, MembershipSettings settings) {
    SimulatedGroup group = joined(seed, settings, 18, "north", "north", "south");
    group.partition("north", "south");
    group.run(partition);
    group.heal();
    return group.runUntil(group::hasConverged, LIMIT_MILLISECONDS);
  }

  private static SimulatedGroup joined(long seed, int members, String... regions) {
    return joined(seed, SETTINGS, members, regions);
  }

  private static SimulatedGroup joined(
      long seed, MembershipSettings settings, int members, String... regions) {
    SimulatedGroup group = new SimulatedGroup(seed, settings);
    group.startMany(members, regions);
    assertTrue(group.runUntil(group::hasConverged, LIMIT_MILLISECONDS));
    return group;
  }

  private static void makeUnreliable(SimulatedGroup group) {
    group.lossShare = 0.1;
    group.duplicateShare = 0.1;
    group.maximumDelay = 200;
  }

  private static void makeReliable(SimulatedGroup group) {
    group.lossShare = 0;
    group.duplicateShare = 0;
    group.maximumDelay = 5;
  }

  private static boolean isPresentNowhere(SimulatedGroup group, String id) {
    return group.running().stream().noneMatch(node -> node.presentIds().contains(id));
  }

  private static boolean suspects(Node node, String id) {
    return node.membership.find(id).orElseThrow().liveness() == Liveness.SUSPECT;
  }

  /** Counts the deaths, seen by all members, of members other than {@code except}. */
  private static long deathsOfOthers(SimulatedGroup group, Node except) {
    return group.running().stream()
        .flatMap(node -> node.deathsSeen.stream())
        .filter(id -> !id.equals(except.id()))
        .count();
  }

  private static List<Long> sent(SimulatedGroup group) {
    return group.nodes.values().stream().map(node -> node.sent).toList();
  }
}
