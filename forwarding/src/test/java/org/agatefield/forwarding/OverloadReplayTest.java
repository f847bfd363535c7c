package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
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

  private static final long RETURN_MILLISECONDS = 500;

  private record Arrival(long at, int tokens, long until, boolean returned) {}

  /** The way before: a request waits until half of the time that it has left would not do. */
  private static final SendPolicy UNTIL_HOPELESS =
      (candidate, timing) -> {
        SendPolicy.Decision decision = new BeginInTime().decide(candidate, timing);
        boolean hopeless = candidate.readingMilliseconds() > 0.5 * timing.remainingMilliseconds();
        return decision == SendPolicy.Decision.REFUSE && !hopeless
            ? SendPolicy.Decision.WAIT
            : decision;
      };

  @Test
  void holdingBackWhatCannotBeginInTimeServesMoreThanSendingAll() {
    int held = servedInTime(new BeginInTime());
    int sent = servedInTime(new SendAlways());
    assertTrue(held >= 2 * sent, "held back: " + held + " in time, all sent: " + sent);
  }

  @Test
  void anIdleRunnerGetsEveryRequest() {
    RunnerCandidate idle = candidate(0, MEAN_TOKENS);
    SendPolicy.Timing late = new SendPolicy.Timing(OBJECTIVE, 0, DEADLINE);
    assertTrue(new BeginInTime().decide(idle, late) == SendPolicy.Decision.SEND);
  }

  @Test
  void mostOfWhatIsServedUnderLastingOverloadBeginsWithinItsObjective() {
    Outcome outcome = replay(new BeginInTime(), THRICE);
    assertTrue(
        outcome.withinObjective() >= 0.75 * outcome.served(),
        outcome.withinObjective() + " of " + outcome.served() + " within the objective");
  }

  @Test
  void largePromptsAreServedAtLeastHalfAsOftenAsAllUnderLastingOverload() {
    Outcome outcome = replay(new BeginInTime(), TWO_FIFTHS_OVER);
    assertTrue(
        outcome.largeServedShare() >= 0.5 * outcome.servedShare(),
        "large " + outcome.largeServedShare() + ", all " + outcome.servedShare());
  }

  @Test
  void callersThatAreRefusedOnceTheyWouldBeLateAreServedMoreOftenThanThoseThatAreHeld() {
    Outcome refused = replay(new BeginInTime(), THRICE);
    Outcome held = replay(UNTIL_HOPELESS, THRICE);
    assertTrue(refused.served() >= held.served(), refused + " " + held);
    assertTrue(refused.longestHeld() <= OBJECTIVE, refused + " " + held);
    assertTrue(held.longestHeld() > OBJECTIVE, refused + " " + held);
  }

  private record Outcome(
      int asked,
      int served,
      int withinObjective,
      int largeAsked,
      int largeServed,
      long longestHeld) {
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
    PriorityQueue<Arrival> coming = new PriorityQueue<>(Comparator.comparingLong(Arrival::at));
    coming.addAll(arrivals);
    long longestHeld = 0;
    int withinObjective = 0;
    int largeServed = 0;
    List<Arrival> waiting = new ArrayList<>();
    double runnerFreeAt = 0;
    int served = 0;
    for (long now = 0; now < LENGTH; now += 20) {
      while (!coming.isEmpty() && coming.peek().at() <= now) {
        waiting.add(coming.poll());
      }
      List<Arrival> stillWaiting = new ArrayList<>();
      for (Arrival each : waiting) {
        double unread = Math.max(0, runnerFreeAt - now) / MILLISECONDS_PER_TOKEN;
        long objectiveLeft = Math.max(0, each.at() + OBJECTIVE - now);
        SendPolicy.Decision decision =
            policy.decide(
                candidate(unread, each.tokens()),
                new SendPolicy.Timing(OBJECTIVE, objectiveLeft, each.until() - now));
        if (decision == SendPolicy.Decision.WAIT) {
          stillWaiting.add(each);
        } else if (decision == SendPolicy.Decision.SEND) {
          runnerFreeAt = Math.max(runnerFreeAt, now) + each.tokens() * MILLISECONDS_PER_TOKEN;
          boolean inTime = runnerFreeAt <= each.until();
          served += inTime ? 1 : 0;
          largeServed += inTime && each.tokens() >= LARGE_TOKENS ? 1 : 0;
          withinObjective += !each.returned() && runnerFreeAt <= each.at() + OBJECTIVE ? 1 : 0;
        } else {
          longestHeld = Math.max(longestHeld, now - each.at());
          if (!each.returned()) {
            long back = now + RETURN_MILLISECONDS;
            coming.add(new Arrival(back, each.tokens(), each.until(), true));
          }
        }
      }
      waiting = stillWaiting;
    }
    int largeAsked = (int) arrivals.stream().filter(each -> each.tokens() >= LARGE_TOKENS).count();
    return new Outcome(
        arrivals.size(), served, withinObjective, largeAsked, largeServed, longestHeld);
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
      int tokens = 500 + random.nextInt(2 * MEAN_TOKENS - 1_000);
      arrivals.add(new Arrival((long) at, tokens, (long) at + DEADLINE, false));
    }
    return arrivals;
  }
}
