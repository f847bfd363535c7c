package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.junit.jupiter.api.Test;

/** Replays a model that is asked for faster than its only runner reads prompts. */
class OverloadReplayTest {
  private static final double MILLISECONDS_PER_TOKEN = 0.06;
  private static final long OBJECTIVE = 1_000;
  private static final long DEADLINE = 5_000;
  private static final long LENGTH = 20_000;
  private static final double CAPACITY_PER_SECOND = 8.33; // prompts of the mean length
  private static final double THRICE = 3;
  private static final double TWO_FIFTHS_OVER = 1.4;
  private static final int MEAN_TOKENS = 2_000;
  private static final int LARGE_TOKENS = 3_200; // the largest tenth

  private record Arrival(long at, int tokens) {}

  @Test
  void holdingBackWhatCannotBeginInTimeServesMoreThanSendingAll() {
    int held = servedInTime(new StartInTimePolicy());
    int sent = servedInTime(new AlwaysSendPolicy());
    assertTrue(held >= 2 * sent, "held back: " + held + " in time, all sent: " + sent);
  }

  @Test
  void anIdleRunnerGetsEveryRequest() {
    RunnerCandidate idle = candidate(0, MEAN_TOKENS);
    SendPolicy.Timing late = new SendPolicy.Timing(OBJECTIVE, 0, DEADLINE);
    assertTrue(new StartInTimePolicy().decide(idle, late) == SendPolicy.Decision.SEND);
  }

  @Test
  void mostOfWhatIsServedUnderLastingOverloadBeginsWithinItsObjective() {
    Outcome outcome = replay(new StartInTimePolicy(), THRICE);
    assertTrue(
        outcome.withinObjective() >= 0.75 * outcome.served(),
        outcome.withinObjective() + " of " + outcome.served() + " within the objective");
  }

  @Test
  void largePromptsAreServedAtLeastHalfAsOftenAsAllUnderLastingOverload() {
    Outcome outcome = replay(new StartInTimePolicy(), TWO_FIFTHS_OVER);
    assertTrue(
        outcome.largeServedShare() >= 0.5 * outcome.servedShare(),
        "large " + outcome.largeServedShare() + ", all " + outcome.servedShare());
  }

  private record Outcome(
      int asked, int served, int withinObjective, int largeAsked, int largeServed) {
    double servedShare() {
      return (double) served / asked;
    }

    double largeServedShare() {
      return (double) largeServed / largeAsked;
    }
  }

  private static int servedInTime(SendPolicy policy) {
    return replay(policy, THRICE).served();
  }

  private static Outcome replay(SendPolicy policy, double load) {
    List<Arrival> arrivals = arrivals(load);
    int withinObjective = 0;
    int largeServed = 0;
    List<Arrival> waiting = new ArrayList<>();
    double runnerFreeAt = 0;
    int served = 0;
    int next = 0;
    for (long now = 0; now < LENGTH; now += 20) {
      while (next < arrivals.size() && arrivals.get(next).at() <= now) {
        waiting.add(arrivals.get(next++));
      }
      List<Arrival> stillWaiting = new ArrayList<>();
      for (Arrival each : waiting) {
        double unread = Math.max(0, runnerFreeAt - now) / MILLISECONDS_PER_TOKEN;
        long objectiveLeft = Math.max(0, each.at() + OBJECTIVE - now);
        SendPolicy.Decision decision =
            policy.decide(
                candidate(unread, each.tokens()),
                new SendPolicy.Timing(OBJECTIVE, objectiveLeft, each.at() + DEADLINE - now));
        if (decision == SendPolicy.Decision.WAIT) {
          stillWaiting.add(each);
        } else if (decision == SendPolicy.Decision.SEND) {
          runnerFreeAt = Math.max(runnerFreeAt, now) + each.tokens() * MILLISECONDS_PER_TOKEN;
          boolean inTime = runnerFreeAt <= each.at() + DEADLINE;
          served += inTime ? 1 : 0;
          largeServed += inTime && each.tokens() >= LARGE_TOKENS ? 1 : 0;
          withinObjective += runnerFreeAt <= each.at() + OBJECTIVE ? 1 : 0;
        }
      }
      waiting = stillWaiting;
    }
    int largeAsked = (int) arrivals.stream().filter(each -> each.tokens() >= LARGE_TOKENS).count();
    return new Outcome(arrivals.size(), served, withinObjective, largeAsked, largeServed);
  }

  private static RunnerCandidate candidate(double unread, int tokens) {
    return new RunnerCandidate(
        "r", Distance.SAME_DOMAIN, 0, 96, unread, MILLISECONDS_PER_TOKEN, 0, tokens, true);
  }

  private static List<Arrival> arrivals(double load) {
    Random random = new Random(20_261_204);
    List<Arrival> arrivals = new ArrayList<>();
    double at = 0;
    while (at < LENGTH) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (load * CAPACITY_PER_SECOND);
      arrivals.add(new Arrival((long) at, 500 + random.nextInt(2 * MEAN_TOKENS - 1_000)));
    }
    return arrivals;
  }
}
