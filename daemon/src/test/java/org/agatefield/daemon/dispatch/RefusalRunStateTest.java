package org.agatefield.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.RunState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

class RefusalRunStateTest {
  private static final int STEPS = 200;

  /** A request tracked by the test, with its latest attempt. */
  private static final class TrackedRequest {
    private CompletableFuture<Dispatch> future;
    private boolean mayHaveRun;
    private boolean ended;
  }

  private final Set<Long> attemptNumbers = new HashSet<>();

  @Property(tries = 40, seed = "5201")
  void refusalWithRunStateNoMeansThatNoAttemptMayHaveRun(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    attemptNumbers.clear();
    try (DispatchFixture fixture =
            new DispatchFixture(DispatchFixture.HOME, DispatchFixture.HOME, DispatchFixture.AWAY);
        RoutingDispatcher dispatcher = fixture.dispatcher(5)) {
      List<TrackedRequest> requests = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        changeTopology(fixture, random);
        TrackedRequest request = new TrackedRequest();
        String id = "request" + step;
        request.future = dispatcher.acquire(DispatchFixture.request(id, "quotes"));
        requests.add(request);
        TrackedRequest other = requests.get(random.nextInt(requests.size()));
        advance(dispatcher, other, random);
        requests.forEach(RefusalRunStateTest::check);
      }
      assertEquals(0, fixture.violations());
    }
  }

  private static void changeTopology(DispatchFixture fixture, UniformRandomProvider random) {
    if (random.nextInt(4) == 0) {
      String upstream = "runner" + random.nextInt(3);
      fixture.leaving = random.nextBoolean() ? Set.of(upstream) : Set.of();
      fixture.replicas =
          List.of(
              DispatchFixture.replica(random.nextInt(3), random.nextBoolean()),
              DispatchFixture.replica(2, random.nextBoolean()));
    }
  }

  private void advance(
      RoutingDispatcher dispatcher, TrackedRequest request, UniformRandomProvider random) {
    boolean isSent = request.future.isDone() && !request.future.isCompletedExceptionally();
    if (!isSent || request.ended) {
      return;
    }
    Dispatch dispatch = request.future.join();
    assertTrue(attemptNumbers.add(dispatch.attemptNumber()), "attempt number used twice");
    DispatchOutcome outcome =
        DispatchOutcome.values()[random.nextInt(DispatchOutcome.values().length)];
    if (outcome == DispatchOutcome.SUCCEEDED || outcome == DispatchOutcome.CANCELLED) {
      request.ended = true;
      dispatch.finished(outcome);
      return;
    }
    request.mayHaveRun |= outcome == DispatchOutcome.FAILED || outcome == DispatchOutcome.TIMED_OUT;
    request.future = dispatcher.reacquire(dispatch, outcome);
  }

  private static void check(TrackedRequest request) {
    if (!request.future.isCompletedExceptionally()) {
      return;
    }
    RunState state =
        request
            .future
            .handle((found, failure) -> AgatefieldException.from(failure))
            .join()
            .runState();
    assertFalse(
        state == RunState.NO && request.mayHaveRun,
        "refusal reports run state NO although an attempt may have run");
  }
}
