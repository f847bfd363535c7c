package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.cost.AttemptWork;
import org.agatefield.cost.LearnedRates;
import org.agatefield.cost.TokenRoom.Room;
import org.agatefield.forwarding.GenerationParameters.PromptPart;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.knowledge.RunnerState;
import org.junit.jupiter.api.Test;

class RunnerEstimatesTest {
  private static final long MEMORY_TOKENS = 100_000;
  private static final int PROMPT_TOKENS = 2_000;

  private final LearnedRates rates = LearnedRates.unshared();
  private final RunnerLoads loads = new RunnerLoads(rates);
  private final KnowledgeTable<RunnerState> states = new KnowledgeTable<>(RunnerState.KIND);
  private final RunnerEstimates estimates = new RunnerEstimates(rates, loads, states);

  @Test
  void equalLookingRequestsAheadCountByThePaceOfTheirModels() {
    for (int number = 0; number < 100; number++) {
      observePace("heavy", 0.06, number);
      observePace("light", 0.006, number);
    }
    RequestWork heavy = work("heavy");
    RequestWork light = work("light");
    estimates.sent(place("behind-heavy"), heavy, 1_000);
    estimates.sent(place("behind-light"), light, 1_000);
    double behindHeavy = candidate("behind-heavy", light, 1_000).backlogMilliseconds();
    double behindLight = candidate("behind-light", light, 1_000).backlogMilliseconds();
    assertTrue(behindHeavy > 5 * behindLight, behindHeavy + " and " + behindLight);
  }

  @Test
  void runnerWhoseFirstEventIsOverdueHasMoreWorkLeft() {
    RequestWork work = work("m");
    estimates.sent(place("slow"), work, 0);
    estimates.sent(place("usual"), work, 0);
    AttemptWork usual = estimates.sent(place("usual"), work, 0);
    estimates.firstEvent(usual, work, true, 200);
    double backlog = candidate("slow", work, 450).backlogMilliseconds();
    assertTrue(backlog > 1.5 * PROMPT_TOKENS * RunnerLoads.WORK_MILLISECONDS_PER_TOKEN);
  }

  @Test
  void runnerIsNotFilledPastItsTokenMemory() {
    RequestWork work = work("m");
    int sent = 0;
    double tokens = 0;
    while (candidate("r", work, 0).outlook().room() == Room.FREE && sent < 200) {
      estimates.sent(place("r"), work, 0);
      tokens += work.memoryTokens();
      sent++;
    }
    assertTrue(sent > 20, "sent " + sent);
    assertTrue(tokens <= MEMORY_TOKENS, "tokens " + tokens);
  }

  @Test
  void reportOfTheRunnerCountsWithWhatWasSentSince() {
    states.receive("peer", "r", new Observed<>(state(90_000), 1_000), 1_000);
    estimates.refresh(1_000);
    RequestWork work = work("m");
    assertEquals(Room.FREE, candidate("r", work, 1_000).outlook().room());
    estimates.sent(place("r"), work, 1_100);
    assertEquals(Room.FULL, candidate("r", work, 1_200).outlook().room());
    assertEquals(Room.FREE, candidate("other", work, 1_200).outlook().room());
  }

  @Test
  void missingReportMakesTheSenderCarefulAboutOthersRequests() {
    loads.updateNeighbour("n", Map.of("r", new RunnerLoads.Load(45, 0)), 0);
    assertEquals(Room.FULL, candidate("r", work("m"), 0).outlook().room());
    assertEquals(Room.FREE, candidate("other", work("m"), 0).outlook().room());
  }

  @Test
  void requestWaitsForRoomAndIsRefusedIfItNeverFits() {
    StartInTimePolicy policy = new StartInTimePolicy();
    SendPolicy.Timing timing = new SendPolicy.Timing(1_000, 1_000, 5_000);
    states.receive("peer", "r", new Observed<>(state(99_000), 0), 0);
    estimates.refresh(0);
    assertEquals(SendPolicy.Decision.WAIT, policy.decide(candidate("r", work("m"), 0), timing));
    RequestWork huge = work("m", (int) MEMORY_TOKENS + 1);
    assertEquals(SendPolicy.Decision.REFUSE, policy.decide(candidate("r", huge, 0), timing));
  }

  @Test
  void keptPartsShortenTheExpectedTime() {
    GenerationParameters terms =
        new GenerationParameters(
            "m",
            Optional.empty(),
            PROMPT_TOKENS,
            80,
            List.of(new PromptPart("shared", 1_500), new PromptPart("own", 500)));
    RequestWork work = estimates.work("route", "", Optional.of(terms), 0);
    AttemptWork attempt = estimates.sent(place("kept"), work, 0);
    estimates.firstEvent(attempt, work, true, 140);
    estimates.ended(attempt);
    double kept = candidate("kept", work, 3_000).prefillMilliseconds();
    double fresh = candidate("fresh", work, 3_000).prefillMilliseconds();
    assertTrue(kept < fresh / 2, kept + " and " + fresh);
  }

  @Test
  void outputThatIsExpectedToBeLongTakesMoreMemory() {
    for (int number = 0; number < 60; number++) {
      int length = 20 << number % 6;
      estimates.outputCompleted(hinted(length), length);
    }
    double difference = hinted(800).memoryTokens() - hinted(30).memoryTokens();
    assertTrue(difference > 400, "difference " + difference);
  }

  @Property(tries = 200, seed = "42")
  void nothingIsLeftWhenAllAttemptsHaveEnded(
      @ForAll @Size(max = 50) List<@IntRange(min = 0, max = 9) Integer> steps) {
    RunnerLoads counted = new RunnerLoads(LearnedRates.unshared());
    RunnerEstimates estimated =
        new RunnerEstimates(
            LearnedRates.unshared(), counted, new KnowledgeTable<>(RunnerState.KIND));
    RequestWork work = work("m");
    List<AttemptWork> attempts = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += 30;
      if (step < 4 || attempts.isEmpty()) {
        attempts.add(estimated.sent(place("r" + step % 2), work, now));
      } else if (step < 7) {
        estimated.firstEvent(attempts.get(step % attempts.size()), work, true, now);
      } else {
        estimated.ended(attempts.get(step % attempts.size()));
      }
    }
    attempts.forEach(estimated::ended);
    assertTrue(counted.ownLoads().isEmpty());
    assertEquals(new RunnerLoads.Load(0, 0), counted.own("r0"));
    assertEquals(new RunnerLoads.Load(0, 0), counted.own("r1"));
    assertTrue(estimated.workLeftMilliseconds(now).isEmpty());
  }

  private void observePace(String model, double millisecondsPerToken, long now) {
    double work = PROMPT_TOKENS * rates.millisecondsPerToken(model);
    rates.observe("any", model, work, work, PROMPT_TOKENS * millisecondsPerToken, now);
  }

  private RequestWork work(String model) {
    return work(model, PROMPT_TOKENS);
  }

  private RequestWork work(String model, int promptTokens) {
    GenerationParameters terms =
        new GenerationParameters(model, Optional.empty(), promptTokens, 80, List.of());
    return estimates.work("route", "", Optional.of(terms), 0);
  }

  private RequestWork hinted(int hint) {
    GenerationParameters terms =
        new GenerationParameters(
            "m", Optional.empty(), PROMPT_TOKENS, 1_000, OptionalInt.of(hint), List.of());
    return estimates.work("route", "", Optional.of(terms), 0);
  }

  private RunnerCandidate candidate(String runner, RequestWork work, long now) {
    return estimates.candidate(place(runner), work, now);
  }

  private static RunnerEstimates.Place place(String runner) {
    return new RunnerEstimates.Place(runner, Distance.SAME_DOMAIN, 64, MEMORY_TOKENS, true);
  }

  private static RunnerState state(long usedTokens) {
    return new RunnerState(1, 30, 0, usedTokens, MEMORY_TOKENS);
  }
}
