package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst of requests that may wait for seconds, at a runner that also reads requests of
 * the same priority that may not.
 */
class RankReplayTest {
  private static final double MILLISECONDS_PER_TOKEN = 0.06;
  private static final int TOKENS = 2_400;
  private static final double CAPACITY_PER_SECOND = 1_000 / (TOKENS * MILLISECONDS_PER_TOKEN);
  private static final long LENGTH = 24_000;
  private static final long STEP = 20;

  private static final Route URGENT = route("urgent", 1_000);
  private static final Route PATIENT = route("patient", 3_000);

  private record Request(Route route, int rank, long at, long number) {}

  private record Outcome(int urgentInTime, int urgent, int patientInTime, int patient) {
    int inTime() {
      return urgentInTime + patientInTime;
    }
  }

  private static Route route(String name, long objective) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        RouteKind.STREAM,
        6_000,
        objective,
        400,
        1,
        1,
        false,
        false,
        List.of(new WeightedService("models", 1)));
  }

  /** The rank under which a request is read. */
  private interface Ranks {
    int rank(Route route);
  }

  private static final Ranks BY_PRIORITY = Route::priority;
  private static final Ranks BY_OBJECTIVE =
      route -> 2 * route.priority() + (route.equals(PATIENT) ? 1 : 0);

  @Test
  void readingPatientRequestsAfterUrgentOnesOfTheSamePriorityLosesMoreThanItSaves() {
    Outcome byPriority = replay(BY_PRIORITY);
    Outcome byObjective = replay(BY_OBJECTIVE);
    String both = byPriority + " " + byObjective;
    assertTrue(byObjective.urgentInTime() > byPriority.urgentInTime(), both);
    assertTrue(byObjective.inTime() < byPriority.inTime(), both);
  }

  @Test
  void tokensOfLaterRanksDoNotStandInTheWay() {
    RankedTokens tokens = RankedTokens.of(2, 100).plus(RankedTokens.of(3, 1_000));
    assertEquals(100, tokens.upTo(2));
    assertEquals(1_100, tokens.upTo(3));
    assertEquals(tokens, RankedTokens.ofList(tokens.toList()));
    assertEquals(List.of(0, 0, 100), tokens.minus(RankedTokens.of(3, 2_000)).toList());
  }

  private static Outcome replay(Ranks ranks) {
    List<Request> arrivals = arrivals(ranks);
    PriorityQueue<Request> runner =
        new PriorityQueue<>(
            Comparator.comparingInt(Request::rank).thenComparingLong(Request::number));
    List<Request> waiting = new ArrayList<>();
    BeginInTime sending = new BeginInTime();
    double freeAt = 0;
    int[] inTime = new int[2];
    int next = 0;
    for (long now = 0; now < LENGTH; now += STEP) {
      while (next < arrivals.size() && arrivals.get(next).at() <= now) {
        waiting.add(arrivals.get(next++));
      }
      List<Request> undecided = waiting;
      waiting = new ArrayList<>();
      undecided.sort(Comparator.comparingInt(Request::rank).thenComparingLong(Request::at));
      for (Request each : undecided) {
        SendPolicy.Decision decision = decide(sending, runner, each, freeAt, now);
        if (decision == SendPolicy.Decision.SEND) {
          runner.add(each);
        } else if (decision == SendPolicy.Decision.WAIT) {
          waiting.add(each);
        }
      }
      while (freeAt <= now && !runner.isEmpty()) {
        Request read = runner.poll();
        freeAt = Math.max(freeAt, now) + TOKENS * MILLISECONDS_PER_TOKEN;
        boolean within = freeAt <= read.at() + read.route().objectiveMilliseconds();
        inTime[read.route().equals(URGENT) ? 0 : 1] += within ? 1 : 0;
      }
    }
    int urgent = (int) arrivals.stream().filter(each -> each.route().equals(URGENT)).count();
    return new Outcome(inTime[0], urgent, inTime[1], arrivals.size() - urgent);
  }

  private static SendPolicy.Decision decide(
      SendPolicy sending, PriorityQueue<Request> runner, Request request, double freeAt, long now) {
    RankedTokens unread =
        runner.stream()
            .map(each -> RankedTokens.of(each.rank(), TOKENS))
            .reduce(RankedTokens.NONE, RankedTokens::plus);
    double inWork = Math.max(0, freeAt - now) / MILLISECONDS_PER_TOKEN;
    RunnerCandidate candidate =
        new RunnerCandidate(
            "r",
            Distance.SAME_DOMAIN,
            0,
            96,
            unread.upTo(request.rank()) + inWork,
            MILLISECONDS_PER_TOKEN,
            0,
            TOKENS,
            true);
    long objective = request.route().objectiveMilliseconds();
    return sending.decide(
        candidate,
        new SendPolicy.Timing(
            objective,
            Math.max(0, request.at() + request.route().objectiveMilliseconds() - now),
            request.at() + request.route().timeoutMilliseconds() - now));
  }

  private static List<Request> arrivals(Ranks ranks) {
    Random random = new Random(7);
    List<Request> arrivals = new ArrayList<>();
    add(arrivals, ranks, URGENT, 0.6 * CAPACITY_PER_SECOND, 0, LENGTH, random);
    add(arrivals, ranks, PATIENT, 1.2 * CAPACITY_PER_SECOND, 6_000, 9_000, random);
    add(arrivals, ranks, PATIENT, 1.2 * CAPACITY_PER_SECOND, 15_000, 18_000, random);
    arrivals.sort(Comparator.comparingLong(Request::at));
    return arrivals;
  }

  private static void add(
      List<Request> arrivals,
      Ranks ranks,
      Route route,
      double perSecond,
      long from,
      long until,
      Random random) {
    double at = from;
    while (at < until) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      int rank = ranks.rank(route);
      arrivals.add(new Request(route, rank, (long) at, arrivals.size()));
    }
  }
}
