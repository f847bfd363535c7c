package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CrashAttributionTest {
  private static final CrashAttribution.Crash FIRST = new CrashAttribution.Crash("i-1", 1);
  private static final CrashAttribution.Crash SECOND = new CrashAttribution.Crash("i-2", 1);
  private static final CrashAttribution.Crash THIRD = new CrashAttribution.Crash("i-3", 1);
  private static final CrashAttribution.Crash FOURTH = new CrashAttribution.Crash("i-4", 1);
  private static final CrashAttribution.Crash FIFTH = new CrashAttribution.Crash("i-5", 1);

  private final CrashAttribution attribution = new CrashAttribution();

  private static Map<String, Integer> parts(String... names) {
    Map<String, Integer> positions = new HashMap<>();
    for (String name : names) {
      positions.put(name, 1);
    }
    return positions;
  }

  @Test
  void oneCrashConvictsNothing() {
    attribution.crashed(FIRST, parts("a"), 1_000);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
    assertEquals(Set.of("a"), attribution.suspects());
  }

  @Test
  void onlyCommonSuspectOfTwoCrashesIsCulprit() {
    attribution.crashed(FIRST, parts("a", "b"), 1_000);
    attribution.crashed(SECOND, parts("a", "c"), 2_000);
    assertEquals(Set.of("a"), attribution.culprits(Set.of()));
  }

  @Test
  void equalSuspectsOfTwoCrashesAreConvictedByThirdOnly() {
    attribution.crashed(FIRST, parts("a", "b"), 1_000);
    attribution.crashed(SECOND, parts("a", "b"), 2_000);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
    attribution.crashed(THIRD, parts("a"), 3_000);
    assertEquals(Set.of("a"), attribution.culprits(Set.of()));
  }

  @Test
  void suspectsThatNothingSeparatesAreAllCulprits() {
    attribution.crashed(FIRST, parts("a", "b"), 1_000);
    attribution.crashed(SECOND, parts("a", "b"), 2_000);
    attribution.crashed(THIRD, parts("a", "b"), 3_000);
    assertEquals(Set.of("a", "b"), attribution.culprits(Set.of()));
  }

  @Test
  void ofSuspectsThatNothingSeparatesTheOneInTheFewestPromptsIsCulprit() {
    Map<String, Integer> chain = Map.of("parent", 1, "child", 2);
    attribution.crashed(FIRST, chain, 1_000);
    attribution.crashed(SECOND, chain, 2_000);
    attribution.crashed(THIRD, chain, 3_000);
    assertEquals(Set.of("child"), attribution.culprits(Set.of()));
  }

  @Test
  void attemptsOfOneRequestThatCrashRunnersAtShortIntervalsAreSeparate() {
    attribution.crashed(FIRST, parts("request-a"), 1_000);
    attribution.crashed(SECOND, parts("request-a"), 1_030);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
    attribution.crashed(THIRD, parts("request-a"), 1_080);
    assertEquals(Set.of("request-a"), attribution.culprits(Set.of()));
  }

  @Test
  void ofRequestsThatNothingSeparatesNoneIsSparedBecauseItsPromptIsShorter() {
    Map<String, Integer> requests = Map.of("part", 1, "request-plain", 0, "request-prompted", 2);
    attribution.crashed(FIRST, requests, 1_000);
    attribution.crashed(SECOND, requests, 2_000);
    attribution.crashed(THIRD, requests, 3_000);
    assertEquals(Set.of("request-plain", "request-prompted"), attribution.culprits(Set.of()));
  }

  @Test
  void runnersLostTogetherCountOnce() {
    attribution.crashed(FIRST, parts("a"), 1_000);
    attribution.crashed(SECOND, parts("a"), 1_050);
    attribution.crashed(THIRD, parts("a"), 1_100);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
  }

  @Test
  void partThatSurvivedAfterwardsIsSound() {
    attribution.crashed(FIRST, parts("a"), 1_000);
    attribution.crashed(SECOND, parts("a"), 2_000);
    attribution.survived("a", 2_500);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
  }

  @Test
  void partThatSurvivedLongBeforeIsCulprit() {
    attribution.survived("a", 1_000);
    attribution.crashed(FIRST, parts("a"), 60_000);
    attribution.crashed(SECOND, parts("a"), 61_000);
    assertEquals(Set.of("a"), attribution.culprits(Set.of()));
  }

  @Test
  void crashesThatCulpritExplainsAreNotHeldAgainstOthers() {
    attribution.crashed(FIRST, parts("a", "b"), 1_000);
    attribution.crashed(SECOND, parts("a", "b"), 2_000);
    attribution.crashed(THIRD, parts("b"), 3_000);
    assertEquals(Set.of("b"), attribution.culprits(Set.of()));
    assertEquals(Set.of(), attribution.culprits(Set.of("b")));
  }

  /** One request with a deadly part crashes three runners: its own part is convicted first. */
  private void convictPartOfOneRequest() {
    Map<String, Integer> prompt = Map.of("deadly", 1, "own", 2);
    attribution.crashed(FIRST, prompt, 1_000);
    attribution.crashed(SECOND, prompt, 2_000);
    attribution.crashed(THIRD, prompt, 3_000);
    assertEquals(Set.of("own"), attribution.culprits(Set.of()));
  }

  @Test
  void partOfOneRequestOnlyHidesTheDeadlyPartUntilTheNextCrash() {
    convictPartOfOneRequest();
    attribution.crashed(FOURTH, Map.of("deadly", 1, "other", 2), 4_000);
    assertEquals(Set.of("deadly"), attribution.culprits(Set.of("own")));
    assertEquals(Set.of("deadly"), attribution.culprits(Set.of()));
  }

  @Test
  void partThatSurvivesAfterAnotherWasConvictedIsNotItsCause() {
    convictPartOfOneRequest();
    attribution.survived("deadly", 3_500);
    attribution.crashed(FOURTH, Map.of("deadly", 1, "other", 2), 4_000);
    attribution.crashed(FIFTH, Map.of("deadly", 1, "next", 2), 30_000);
    assertEquals(Set.of(), attribution.culprits(Set.of("own")));
  }

  @Test
  void runnerLostTogetherWithThatOfTheCulpritConvictsNoOtherPart() {
    convictPartOfOneRequest();
    attribution.crashed(FOURTH, Map.of("deadly", 1, "other", 2), 3_050);
    assertEquals(Set.of(), attribution.culprits(Set.of("own")));
  }

  @Test
  void partThatWasNotAtAllCrashesOfTheCulpritNeedsTwoOfItsOwn() {
    convictPartOfOneRequest();
    attribution.crashed(FOURTH, Map.of("own", 2), 4_000);
    attribution.crashed(FIFTH, Map.of("deadly", 1, "other", 2), 5_000);
    assertEquals(Set.of(), attribution.culprits(Set.of("own")));
  }

  @Test
  void evidenceExpires() {
    attribution.crashed(FIRST, parts("a"), 0);
    attribution.crashed(SECOND, parts("a"), CrashAttribution.EVIDENCE_MILLISECONDS + 1);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
  }

  @Test
  void survivalsOfPartsOfSingleRequestsAreForgotten() {
    int requests = 6_000;
    for (int request = 0; request < requests; request++) {
      attribution.survived("own" + request, 20L * request);
      attribution.forgetOld(20L * request);
    }
    assertTrue(
        attribution.survivalCount() <= 3_001, () -> attribution.survivalCount() + " survivals");
  }

  @Test
  void survivalIsKnownWhileCrashesWithThePartAreEvidence() {
    attribution.survived("session", 1_000);
    attribution.crashed(FIRST, parts("session", "a"), 2_000);
    attribution.forgetOld(CrashAttribution.EVIDENCE_MILLISECONDS);
    attribution.crashed(SECOND, parts("session", "b"), CrashAttribution.EVIDENCE_MILLISECONDS);
    assertEquals(Set.of(), attribution.culprits(Set.of()));
    assertTrue(attribution.isSound("session", 2_000));
    attribution.forgetOld(2 * CrashAttribution.EVIDENCE_MILLISECONDS + 1);
    assertEquals(0, attribution.survivalCount());
  }

  @Test
  void lateReportOfCrashFindsThePartsThatWereSoundThen() {
    attribution.survived("session", 1_000);
    long crashAt = 1_000 + CrashAttribution.SOUND_MILLISECONDS;
    attribution.forgetOld(crashAt + CrashAttribution.REPORT_MILLISECONDS);
    attribution.crashed(FIRST, parts("session"), crashAt);
    assertEquals(Set.of(), attribution.suspects());
  }

  /** A fact that one of several instances learns. */
  private sealed interface Fact {
    record Crashed(CrashAttribution.Crash crash, Map<String, Integer> parts, long at)
        implements Fact {}

    record Survived(String part, long at) implements Fact {}
  }

  /**
   * Runners crash on a deadly part and for other reasons. Each has requests with shared parts in
   * hand; sound parts survive now and then.
   */
  private static List<Fact> mixedCrashes(Random random, int deadlyCrashes, int otherCrashes) {
    List<Fact> facts = new ArrayList<>();
    int crashes = deadlyCrashes + otherCrashes;
    List<Boolean> causes = new ArrayList<>(Collections.nCopies(deadlyCrashes, true));
    causes.addAll(Collections.nCopies(otherCrashes, false));
    Collections.shuffle(causes, random);
    for (int index = 0; index < crashes; index++) {
      long at = 1_000L * (index + 1) + random.nextInt(400);
      CrashAttribution.Crash crash = new CrashAttribution.Crash("i-" + index, 1);
      for (int instance = 0; instance < 3; instance++) {
        Map<String, Integer> parts = new HashMap<>();
        parts.put("first", 0);
        for (int request = 0; request < 3; request++) {
          parts.put("sound" + random.nextInt(30), 1);
        }
        parts.put("new" + index + "/" + instance, 1);
        if (causes.get(index) && instance == index % 3) {
          parts.put("deadly", 2);
        }
        facts.add(new Fact.Crashed(crash, parts, at));
      }
      facts.add(new Fact.Survived("first", at + 100));
    }
    for (int sound = 0; sound < 30; sound++) {
      facts.add(new Fact.Survived("sound" + sound, 500 + 1_000L * random.nextInt(crashes + 1)));
    }
    return facts;
  }

  private static Set<String> culprits(List<Fact> facts) {
    CrashAttribution attribution = new CrashAttribution();
    for (Fact fact : facts) {
      if (fact instanceof Fact.Crashed crashed) {
        attribution.crashed(crashed.crash(), crashed.parts(), crashed.at());
      } else if (fact instanceof Fact.Survived survived) {
        attribution.survived(survived.part(), survived.at());
      }
    }
    return attribution.culprits(Set.of());
  }

  @Property(tries = 1000, seed = "3501")
  void deadlyPartIsSeparatedAmongMixedCrashesInAnyOrderOfFacts(
      @ForAll @IntRange(min = 2, max = 6) int deadlyCrashes,
      @ForAll @IntRange(max = 6) int otherCrashes,
      @ForAll long luck) {
    Random random = new Random(luck);
    List<Fact> facts = mixedCrashes(random, deadlyCrashes, otherCrashes);
    Set<String> found = culprits(facts);
    assertEquals(Set.of("deadly"), found);
    Collections.shuffle(facts, random);
    assertEquals(found, culprits(facts));
  }

  /**
   * Requests crash a runner with each of their attempts. Their shared parts besides the deadly one
   * are sound, and so are the other prompts in hand, some of sessions with earlier requests.
   */
  private static List<Fact> crashesOfRequests(Random random, int requests, String deadly) {
    List<Fact> facts = new ArrayList<>();
    long at = 1_000;
    for (int request = 0; request < requests; request++) {
      int attempts = request == 0 ? 3 : 1 + random.nextInt(3);
      for (int attempt = 0; attempt < attempts; attempt++) {
        at += 300 + random.nextInt(900);
        Map<String, Integer> parts = new HashMap<>(Map.of("first", 0, "customer", 1));
        parts.put(deadly, 2);
        parts.put("own" + request, 3);
        for (int sound = 0; sound < random.nextInt(4); sound++) {
          parts.put("session" + random.nextInt(5), 4);
        }
        facts.add(new Fact.Crashed(new CrashAttribution.Crash("i-" + at, 1), parts, at));
        facts.add(new Fact.Survived("first", at + 100));
        facts.add(new Fact.Survived("customer", at + 150));
      }
      for (int session = 0; session < 5; session++) {
        facts.add(new Fact.Survived("session" + session, at - random.nextInt(10_000)));
      }
    }
    return facts;
  }

  /** Returns the parts convicted while the facts become known one after the other. */
  private static Set<String> culpritsInTurn(List<Fact> facts) {
    CrashAttribution attribution = new CrashAttribution();
    Set<String> known = new HashSet<>();
    for (Fact fact : facts) {
      if (fact instanceof Fact.Crashed crashed) {
        attribution.crashed(crashed.crash(), crashed.parts(), crashed.at());
        known.addAll(attribution.culprits(known));
      } else if (fact instanceof Fact.Survived survived) {
        attribution.survived(survived.part(), survived.at());
      }
    }
    return known;
  }

  @Property(tries = 1000, seed = "3503")
  void deadlyPartIsFoundThoughOneRequestCrashesSeveralRunners(
      @ForAll @IntRange(min = 2, max = 5) int requests, @ForAll long luck) {
    List<Fact> facts = crashesOfRequests(new Random(luck), requests, "deadly");
    List<Fact> survivalsFirst =
        facts.stream().sorted(Comparator.comparing(Fact.Crashed.class::isInstance)).toList();
    Set<String> found = culpritsInTurn(survivalsFirst);
    assertTrue(found.contains("deadly"), found::toString);
    assertTrue(Set.of("deadly", "own0").containsAll(found), found::toString);
  }

  @Property(tries = 1000, seed = "3502")
  void crashesForOtherReasonsConvictNoPart(
      @ForAll @IntRange(max = 8) int otherCrashes, @ForAll long luck) {
    assertTrue(culprits(mixedCrashes(new Random(luck), 0, otherCrashes)).isEmpty());
  }
}
