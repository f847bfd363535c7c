package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class ChooserTest {
  private static final long SECOND = 1_000_000_000L;
  private static final CostModel COSTS = new CostModel(100_000, 13_000_000, 60_000_000, 400);

  private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);

  private static Candidate candidate(String name, String region, int outstanding) {
    return new Candidate(name, region, outstanding, 10, false, true, SECOND);
  }

  private static RoutingRequest request(Long... prefixes) {
    return new RoutingRequest("north", Optional.empty(), 2_000, 10_000, List.of(prefixes));
  }

  private ExpectedTimeChooser chooser(PrefixTable prefixes) {
    return new ExpectedTimeChooser(COSTS, prefixes, random);
  }

  private static String chosen(UpstreamChooser chooser, RoutingRequest request, Candidate... all) {
    return chooser.choose(request, List.of(all), 0).orElseThrow().candidate().upstream();
  }

  @Property(tries = 200, seed = "5104")
  void everyChooserReturnsOneOfTheCandidatesUnlessThereAreNone(
      @ForAll @Size(max = 10) List<@IntRange(max = 20) Integer> outstanding) {
    List<Candidate> candidates = new ArrayList<>();
    for (int load : outstanding) {
      candidates.add(candidate("r" + candidates.size(), "north", load));
    }
    List<UpstreamChooser> choosers =
        List.of(
            new RandomChooser(random),
            new RoundRobinChooser(),
            new LeastOutstandingChooser(),
            new TwoChoicesChooser(random),
            chooser(new PrefixTable(10)));
    for (UpstreamChooser chooser : choosers) {
      Optional<Choice> choice = chooser.choose(request(1L), candidates, 0);
      assertEquals(candidates.isEmpty(), choice.isEmpty());
      choice.ifPresent(found -> assertTrue(candidates.contains(found.candidate())));
    }
  }

  @Test
  void runnerWithCachedPrefixIsPreferredUntilItsLoadOutweighsThePrefill() {
    PrefixTable prefixes = new PrefixTable(10);
    ExpectedTimeChooser chooser = chooser(prefixes);
    chooser.sent(request(1L, 2L), "seen");
    assertEquals(
        "seen",
        chosen(
            chooser, request(1L, 2L), candidate("seen", "north", 1), candidate("new", "north", 0)));
    assertEquals(
        "new",
        chosen(
            chooser, request(1L, 2L), candidate("seen", "north", 9), candidate("new", "north", 0)));
  }

  @Test
  void ownRegionIsPreferredUntilItsLoadOutweighsTheCrossing() {
    ExpectedTimeChooser chooser = chooser(new PrefixTable(10));
    assertEquals(
        "near",
        chosen(chooser, request(), candidate("near", "north", 0), candidate("far", "south", 0)));
    assertEquals(
        "far",
        chosen(chooser, request(), candidate("near", "north", 9), candidate("far", "south", 0)));
  }

  @Test
  void reportedRequestsOfOthersDecayAndOwnRequestsCountAtOnce() {
    UpstreamLoad load = new UpstreamLoad();
    load.sent();
    load.reported(9, 1, 0);
    assertEquals(10, load.outstanding(0));
    load.sent();
    assertEquals(11, load.outstanding(0));
    load.finished();
    load.finished();
    assertEquals(9, load.outstanding(0));
    assertEquals(0, load.outstanding(60 * SECOND));
  }
}
