package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.junit.jupiter.api.Test;

/** Replays a model whose requests arrive faster than its only runner can prefill their prompts. */
class OverloadReplayTest {
  private static final double MILLISECONDS_PER_TOKEN = 0.06;
  private static final long OBJECTIVE_MILLISECONDS = 1_000;
  private static final long DEADLINE_MILLISECONDS = 5_000;
  private static final long DURATION_MILLISECONDS = 20_000;
  private static final double CAPACITY_PER_SECOND = 8.33; // prompts of the mean length
  private static final double TRIPLE_LOAD = 3;
  private static final double MODERATE_OVERLOAD = 1.4;
  private static final int MEAN_TOKENS = 2_000;
  private static final int LARGE_TOKENS = 3_200; // the largest tenth

  private record Arrival(long at, int tokens) {}

  @Test
  void startInTimePolicyServesAtLeastTwiceAsManyInTimeAsSendingAll() {
    int held = servedInTime(new StartInTimePolicy());
    int sent = servedInTime(new AlwaysSendPolicy());
    assertTrue(
        held >= 2 * sent,
        "in time with StartInTimePolicy: " + held + ", with AlwaysSendPolicy: " + sent);
  }

  @Test
  void idleRunnerIsSentLateRequests() {
    RunnerCandidate idle = candidate(0, MEAN_TOKENS);
    SendPolicy.Timing late =
        new SendPolicy.Timing(OBJECTIVE_MILLISECONDS, 0, DEADLINE_MILLISECONDS);
    assertTrue(new StartInTimePolicy().decide(idle, late) == SendPolicy.Decision.SEND);
  }

  @Test
  void mostAnswersUnderSustainedOverloadStartWithinTheirObjective() {
    Outcome outcome = replay(new StartInTimePolicy(), TRIPLE_LOAD);
    assertTrue(
        outcome.withinObjective() >= 0.75 * outcome.served(),
        outcome.withinObjective() + " of " + outcome.served() + " within the objective");
  }

  @Test
  void largePromptsAreServedAtLeastHalfAsOftenAsAllUnderSustainedOverload() {
    Outcome outcome = replay(new StartInTimePolicy(), MODERATE_OVERLOAD);
    assertTrue(
        outcome.largeServedShare() >= 0.5 * outcome.servedShare(),
        "large " + outcome.largeServedShare() + ", all " + outcome.servedShare());
  }

  private record Outcome(
      int arrived, int served, int withinObjective, int largeArrived, int largeServed) {
    double servedShare() {
      return (double) served / arrived;
    }

    double largeServedShare() {
      return (double) largeServed / largeArrived;
    }
  }

  private static int servedInTime(SendPolicy policy) {
    return replay(policy, TRIPLE_LOAD).served();
  }

  private static Outcome replay(SendPolicy policy, double load) {
    List<Arrival> arrivals = arrivals(load);
    int withinObjective = 0;
    int largeServed = 0;
    List<Arrival> waiting = new ArrayList<>();
    double runnerFreeAt = 0;
    int served = 0;
    int next = 0;
    for (long now = 0; now < DURATION_MILLISECONDS; now += 20) {
      while (next < arrivals.size() && arrivals.get(next).at() <= now) {
        waiting.add(arrivals.get(next++));
      }
      List<Arrival> stillWaiting = new ArrayList<>();
      for (Arrival each : waiting) {
        double pendingPrefillTokens = Math.max(0, runnerFreeAt - now) / MILLISECONDS_PER_TOKEN;
        long objectiveLeft = Math.max(0, each.at() + OBJECTIVE_MILLISECONDS - now);
        SendPolicy.Decision decision =
            policy.decide(
                candidate(pendingPrefillTokens, each.tokens()),
                new SendPolicy.Timing(
                    OBJECTIVE_MILLISECONDS,
                    objectiveLeft,
                    each.at() + DEADLINE_MILLISECONDS - now));
        if (decision == SendPolicy.Decision.WAIT) {
          stillWaiting.add(each);
        } else if (decision == SendPolicy.Decision.SEND) {
          runnerFreeAt = Math.max(runnerFreeAt, now) + each.tokens() * MILLISECONDS_PER_TOKEN;
          boolean inTime = runnerFreeAt <= each.at() + DEADLINE_MILLISECONDS;
          served += inTime ? 1 : 0;
          largeServed += inTime && each.tokens() >= LARGE_TOKENS ? 1 : 0;
          withinObjective += runnerFreeAt <= each.at() + OBJECTIVE_MILLISECONDS ? 1 : 0;
        }
      }
      waiting = stillWaiting;
    }
    int largeArrived =
        (int) arrivals.stream().filter(each -> each.tokens() >= LARGE_TOKENS).count();
    return new Outcome(arrivals.size(), served, withinObjective, largeArrived, largeServed);
  }

  private static RunnerCandidate candidate(double pendingPrefillTokens, int tokens) {
    return new RunnerCandidate(
        "r",
        Distance.SAME_DOMAIN,
        0,
        96,
        pendingPrefillTokens,
        MILLISECONDS_PER_TOKEN,
        0,
        tokens,
        true);
  }

  private static List<Arrival> arrivals(double load) {
    Random random = new Random(20_261_204);
    List<Arrival> arrivals = new ArrayList<>();
    double at = 0;
    while (at < DURATION_MILLISECONDS) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (load * CAPACITY_PER_SECOND);
      arrivals.add(new Arrival((long) at, 500 + random.nextInt(2 * MEAN_TOKENS - 1_000)));
    }
    return arrivals;
  }
}
