package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;
import org.agatefield.model.RunState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double MAXIMUM_COST = 10;
  private static final List<String> TARGETS = List.of("first", "second");

  private long lastId;

  private QueuedRequest request(
      String caller, int weight, Priority priority, long now, long remaining, double cost) {
    lastId++;
    return new QueuedRequest(
        lastId, "first", caller, weight, priority, now, now + remaining, 10, cost);
  }

  private QueuedRequest standard(String caller, long now) {
    return request(caller, 1, Priority.STANDARD, now, 60 * SECOND, 1);
  }

  private static AdmissionQueue queue(QueueBounds bounds, long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    return new AdmissionQueue(bounds, new DeadlineShedding(random), new WeightedFairOrder());
  }

  /**
   * Serves callers of which the last sends far more than is served; returns the served cost by
   * caller.
   */
  private Map<String, Double> serveWithFloodingCaller(
      SelectionOrder order, List<Integer> weights, UniformRandomProvider random) {
    AdmissionQueue queue = new AdmissionQueue(QueueBounds.NONE, new NoShedding(), order);
    Map<String, Double> served = new HashMap<>();
    for (int step = 0; step < 400; step++) {
      for (int caller = 0; caller < weights.size(); caller++) {
        boolean floods = caller == weights.size() - 1;
        for (int copy = 0; copy < (floods ? 5 : 1); copy++) {
          double cost = 1 + random.nextDouble() * (MAXIMUM_COST - 1);
          queue.offer(
              request("c" + caller, weights.get(caller), Priority.STANDARD, step, SECOND, cost),
              step);
        }
      }
      QueuedRequest chosen = queue.next("runner", TARGETS, step).chosen().orElseThrow();
      served.merge(chosen.caller(), chosen.cost(), Double::sum);
    }
    return served;
  }

  /**
   * Returns the largest difference between the served cost per weight of two callers, relative to
   * the allowed difference.
   */
  private static double worstUnfairness(Map<String, Double> served, List<Integer> weights) {
    double worst = 0;
    for (int left = 0; left < weights.size(); left++) {
      for (int right = 0; right < weights.size(); right++) {
        double leftShare = served.getOrDefault("c" + left, 0.0) / weights.get(left);
        double rightShare = served.getOrDefault("c" + right, 0.0) / weights.get(right);
        double bound = MAXIMUM_COST / weights.get(left) + MAXIMUM_COST / weights.get(right);
        worst = Math.max(worst, (leftShare - rightShare) / bound);
      }
    }
    return worst;
  }

  @Property(tries = 200, seed = "5001")
  void backloggedCallersGetTheirWeightedSharesWhileOneOfThemFloods(
      @ForAll @Size(min = 2, max = 6) List<@IntRange(min = 1, max = 8) Integer> weights,
      @ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    Map<String, Double> served = serveWithFloodingCaller(new WeightedFairOrder(), weights, random);
    assertTrue(worstUnfairness(served, weights) <= 1, served.toString());
  }

  @Test
  void arrivalOrderGivesFloodingCallerMoreThanItsShare() {
    List<Integer> weights = List.of(1, 1, 1);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(5001);
    Map<String, Double> served = serveWithFloodingCaller(new ArrivalOrder(), weights, random);
    assertTrue(worstUnfairness(served, weights) > 1, served.toString());
  }

  @Property(tries = 300, seed = "5002")
  void queueStaysWithinBoundsAndSelectsInTimeOrRefusesEachRequestOnce(
      @ForAll @IntRange(min = 1, max = 20) int maximumRequests,
      @ForAll @IntRange(min = 1, max = 400) int maximumBytes,
      @ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    AdmissionQueue queue = queue(new QueueBounds(maximumRequests, maximumBytes), seed);
    Set<Long> ended = new HashSet<>();
    List<QueuedRequest> offered = new ArrayList<>();
    long now = 0;
    for (int step = 0; step < 300; step++) {
      now += random.nextLong(SECOND / 5);
      QueuedRequest request = randomRequest(random, now);
      offered.add(request);
      queue.offer(request, now).refused().forEach(refusal -> recordRefusal(ended, refusal));
      assertTrue(queue.size() <= maximumRequests && queue.bytes() <= maximumBytes);
      if (random.nextInt(3) == 0) {
        serve(queue, ended, now);
      }
    }
    queue.expire(now + 100 * SECOND).forEach(refusal -> recordRefusal(ended, refusal));
    assertEquals(offered.size(), ended.size());
    assertEquals(0, queue.size());
    assertEquals(0, queue.bytes());
  }

  private static void serve(AdmissionQueue queue, Set<Long> ended, long now) {
    Selection selection = queue.next("runner", TARGETS, now);
    selection.refused().forEach(refusal -> recordRefusal(ended, refusal));
    selection
        .chosen()
        .ifPresent(
            chosen -> {
              assertTrue(chosen.deadlineNanoseconds() > now, "started after its deadline");
              assertTrue(ended.add(chosen.id()));
              queue.started(chosen.target());
              queue.recordServiceTime(chosen.target(), chosen.cost(), SECOND / 10, now);
              queue.finished(chosen.target());
            });
  }

  private static void recordRefusal(Set<Long> ended, Refusal refusal) {
    assertTrue(ended.add(refusal.request().id()), "refused after it had been selected or refused");
    assertEquals(RunState.NO, refusal.kind().runState());
    assertFalse(refusal.retryAfter().isNegative() || refusal.retryAfter().isZero());
  }

  private QueuedRequest randomRequest(UniformRandomProvider random, long now) {
    lastId++;
    int caller = random.nextInt(4);
    return new QueuedRequest(
        lastId,
        TARGETS.get(random.nextInt(2)),
        "c" + caller,
        caller + 1,
        Priority.values()[random.nextInt(3)],
        now,
        now + random.nextLong(3 * SECOND),
        random.nextInt(60),
        1 + random.nextInt(5));
  }

  @Test
  void queueWithoutSheddingStartsRequestsAfterTheirDeadline() {
    AdmissionQueue queue =
        new AdmissionQueue(QueueBounds.NONE, new NoShedding(), new ArrivalOrder());
    queue.offer(request("caller", 1, Priority.STANDARD, 0, SECOND, 1), 0);
    QueuedRequest chosen = queue.next("runner", TARGETS, 2 * SECOND).chosen().orElseThrow();
    assertTrue(chosen.deadlineNanoseconds() < 2 * SECOND);
  }

  @Test
  void fullQueueEvictsRequestsOfTheLargestBacklogForOthers() {
    AdmissionQueue queue = queue(new QueueBounds(4, 1_000), 1);
    for (int copy = 0; copy < 4; copy++) {
      queue.offer(standard("retries", 0), 0);
    }
    Offer offer = queue.offer(standard("polite", 0), 0);
    assertTrue(offer.queued());
    assertEquals(1, offer.refused().size());
    assertEquals("retries", offer.refused().get(0).request().caller());
    assertFalse(queue.offer(standard("retries", 0), 0).queued());
  }

  @Test
  void higherPriorityIsServedFirstAndEvictsLowerOnes() {
    AdmissionQueue queue = queue(new QueueBounds(1, 1_000), 1);
    queue.offer(request("batch", 1, Priority.BATCH, 0, 60 * SECOND, 1), 0);
    QueuedRequest interactive = request("person", 1, Priority.INTERACTIVE, 0, 60 * SECOND, 1);
    Offer offer = queue.offer(interactive, 0);
    assertEquals(ErrorKind.OVERLOADED, offer.refused().get(0).kind());
    assertEquals(interactive, queue.next("runner", TARGETS, 0).chosen().orElseThrow());
  }

  @Test
  void requestThatCannotMeetItsDeadlineIsRefusedOnArrivalWithRetryDelay() {
    AdmissionQueue queue = queue(QueueBounds.NONE, 1);
    queue.started("first");
    queue.recordServiceTime("first", 1, SECOND, 0);
    for (int copy = 0; copy < 10; copy++) {
      queue.offer(standard("caller", 0), 0);
    }
    Offer offer = queue.offer(request("caller", 1, Priority.STANDARD, 0, 5 * SECOND, 1), 0);
    Refusal refusal = offer.refused().get(0);
    assertEquals(ErrorKind.DEADLINE_UNREACHABLE, refusal.kind());
    assertTrue(refusal.retryAfter().toNanos() >= 10 * SECOND);
    assertTrue(refusal.retryAfter().toNanos() <= 15 * SECOND);
  }

  @Test
  void backlogOfOneCallerDoesNotCauseRefusalsOfAnother() {
    AdmissionQueue queue = queue(QueueBounds.NONE, 1);
    queue.started("first");
    queue.recordServiceTime("first", 1, SECOND, 0);
    for (int copy = 0; copy < 50; copy++) {
      queue.offer(standard("retries", 0), 0);
    }
    assertTrue(queue.offer(request("polite", 1, Priority.STANDARD, 0, 5 * SECOND, 1), 0).queued());
  }

  @Test
  void targetThatWasSlowOnceIsTriedAgainLater() {
    AdmissionQueue queue = queue(QueueBounds.NONE, 1);
    queue.recordServiceTime("first", 1, 10 * SECOND, 0);
    QueuedRequest refused = request("caller", 1, Priority.STANDARD, 0, 5 * SECOND, 1);
    assertFalse(queue.offer(refused, 0).queued());
    long later = 30 * SECOND;
    QueuedRequest tried = request("caller", 1, Priority.STANDARD, later, 5 * SECOND, 1);
    assertTrue(queue.offer(tried, later).queued());
  }
}
