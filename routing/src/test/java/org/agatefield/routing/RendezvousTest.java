package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.Priority;
import org.junit.jupiter.api.Test;

class RendezvousTest {
  private final HomeInstances homes = new HomeInstances(10, 2);

  private static List<String> instances(int count) {
    return IntStream.range(0, count).mapToObj(number -> "instance" + number).toList();
  }

  @Property(tries = 200, seed = "5103")
  void leavingInstanceChangesOnlyTheHomesOfItsOwnModels(
      @ForAll @IntRange(min = 3, max = 30) int count,
      @ForAll @IntRange(max = 29) int leaving,
      @ForAll @IntRange(max = 300) int model) {
    List<String> before = instances(count);
    String leavingInstance = "instance" + leaving;
    List<String> after = new ArrayList<>(before);
    after.remove(leavingInstance);
    List<String> homesBefore = homes.homes("model" + model, before, 2);
    List<String> homesAfter = homes.homes("model" + model, after, 2);
    if (!homesBefore.contains(leavingInstance)) {
      assertEquals(homesBefore, homesAfter);
    }
    assertEquals(2, homesAfter.size());
  }

  @Test
  void numberOfHomesFollowsDemand() {
    assertEquals(2, homes.homesFor(0));
    assertEquals(10, homes.homesFor(95));
  }

  @Test
  void versionsReceiveRequestsByWeightAndRequestsStayWithTheirVersion() {
    Deployment deployment =
        new Deployment(
            "quotes",
            List.of(new DeploymentVersion("old", 1, 9), new DeploymentVersion("new", 1, 1)),
            Priority.STANDARD,
            1);
    int toNew = 0;
    for (int number = 0; number < 10_000; number++) {
      String first = VersionSplit.ordered(deployment, "request" + number).get(0).name();
      assertEquals(first, VersionSplit.ordered(deployment, "request" + number).get(0).name());
      toNew += first.equals("new") ? 1 : 0;
    }
    assertTrue(toNew > 800 && toNew < 1_200, "expected about one in ten of 10000, was " + toNew);
  }
}
