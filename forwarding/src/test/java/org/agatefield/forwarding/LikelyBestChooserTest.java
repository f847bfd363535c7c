package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.cost.TokenRoom.Room;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.forwarding.RunnerCandidate.Outlook;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class LikelyBestChooserTest {
  private static final int INSTANCES = 71;
  private static final int RUNNERS = 42;
  private static final double MILLISECONDS_PER_TOKEN = 0.05;
  private static final double LOAD_OF_OTHERS = 0.6;

  private final LikelyBestChooser chooser =
      new LikelyBestChooser(RandomSource.XO_RO_SHI_RO_128_PP.create(5L));

  @Test
  void manyInstancesWithTheSameOldViewDoNotChooseTheSameRunner() {
    List<RunnerCandidate> view = new ArrayList<>();
    for (int number = 0; number < RUNNERS; number++) {
      // The first looks idle, the others have a request each.
      double pending = number == 0 ? 0 : 2_000;
      view.add(candidate("r" + number, Distance.SAME_DOMAIN, pending, 1, 400));
    }
    Map<String, Integer> chosen = choose(view, INSTANCES);
    int most = chosen.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(most <= 4 * INSTANCES / RUNNERS + 2, "the busiest runner got " + most);
  }

  @Test
  void fasterRunnersGetMore() {
    List<RunnerCandidate> view =
        List.of(
            candidate("fast", Distance.SAME_DOMAIN, 0, 2.4, 400),
            candidate("slow", Distance.SAME_DOMAIN, 0, 1, 400));
    Map<String, Integer> chosen = choose(view, 1_000);
    double ratio = (double) chosen.get("fast") / chosen.get("slow");
    assertTrue(ratio > 2 && ratio < 4, "ratio " + ratio);
  }

  @Test
  void bestIsTakenWithFreshView() {
    List<RunnerCandidate> view =
        List.of(
            candidate("idle", Distance.SAME_DOMAIN, 0, 1, 0),
            candidate("busy", Distance.SAME_DOMAIN, 4_000, 1, 0));
    assertEquals(Map.of("idle", 200), choose(view, 200));
  }

  @Test
  void otherRegionIsChosenOnlyIfItSavesMoreThanTheWay() {
    List<RunnerCandidate> calm =
        List.of(
            candidate("near", Distance.SAME_DOMAIN, 2_000, 1, 400),
            candidate("far", Distance.OTHER_REGION, 0, 1, 400));
    assertTrue(choose(calm, 1_000).getOrDefault("far", 0) < 300);
    List<RunnerCandidate> crowded =
        List.of(
            candidate("near", Distance.SAME_DOMAIN, 20_000, 1, 400),
            candidate("far", Distance.OTHER_REGION, 0, 1, 400));
    assertTrue(choose(crowded, 1_000).getOrDefault("far", 0) > 900);
  }

  @Property(tries = 200, seed = "42")
  void noRunnerStarvesThatIsAsGoodAsTheOthers(
      @ForAll @Size(min = 1, max = 12) List<@DoubleRange(min = 0, max = 4_000) Double> pending) {
    List<RunnerCandidate> view = new ArrayList<>();
    for (int number = 0; number < pending.size(); number++) {
      view.add(candidate("r" + number, Distance.SAME_DOMAIN, pending.get(number), 1, 400));
    }
    Map<String, Integer> chosen = choose(view, 400);
    for (int number = 0; number < pending.size(); number++) {
      assertTrue(chosen.getOrDefault("r" + number, 0) > 0, "r" + number + " got nothing");
    }
  }

  private Map<String, Integer> choose(List<RunnerCandidate> view, int times) {
    Map<String, Integer> chosen = new HashMap<>();
    for (int time = 0; time < times; time++) {
      chosen.merge(chooser.choose(view).orElseThrow().id(), 1, Integer::sum);
    }
    return chosen;
  }

  private static RunnerCandidate candidate(
      String id, Distance distance, double pending, double speed, double viewAge) {
    return new RunnerCandidate(
        id,
        distance,
        1,
        64,
        pending,
        MILLISECONDS_PER_TOKEN / speed,
        0,
        500,
        true,
        new Outlook(40 / speed, 0, 0, viewAge, LOAD_OF_OTHERS * viewAge, Room.FREE));
  }
}
