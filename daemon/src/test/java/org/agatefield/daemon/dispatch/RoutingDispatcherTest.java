package org.agatefield.daemon.dispatch;

import static org.agatefield.daemon.dispatch.DispatchFixture.AWAY;
import static org.agatefield.daemon.dispatch.DispatchFixture.HOME;
import static org.agatefield.daemon.dispatch.DispatchFixture.replica;
import static org.agatefield.daemon.dispatch.DispatchFixture.report;
import static org.agatefield.daemon.dispatch.DispatchFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;
import org.agatefield.model.RunState;
import org.junit.jupiter.api.Test;

class RoutingDispatcherTest {
  private static AgatefieldException failureOf(CompletableFuture<?> future) {
    CompletionException thrown = assertThrows(CompletionException.class, future::join);
    return AgatefieldException.from(thrown);
  }

  @Test
  void requestsAreSpreadOverTheRunnersThatHoldTheModel() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      Dispatch first = dispatcher.acquire(request("1", "quotes")).join();
      Dispatch second = dispatcher.acquire(request("2", "quotes")).join();
      assertNotEquals(first.upstream(), second.upstream());
      assertTrue(second.attemptNumber() > first.attemptNumber());
      assertEquals(Optional.of(DispatchFixture.VERSION), first.version());
      assertEquals(
          Optional.of(first.upstream().name()),
          dispatcher.explain("1").flatMap(RoutingExplanation::chosen));
    }
  }

  @Test
  void unknownModelIsRefusedAsNotFound() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      CompletableFuture<Dispatch> refused = dispatcher.acquire(request("1", "nothing"));
      assertEquals(ErrorKind.NOT_FOUND, failureOf(refused).kind());
    }
  }

  @Test
  void modelWithoutReplicaIsRefusedImmediatelyWithRunStateNo() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      fixture.replicas = List.of();
      AgatefieldException failure = failureOf(dispatcher.acquire(request("1", "quotes")));
      assertEquals(ErrorKind.NO_UPSTREAM, failure.kind());
      assertEquals(RunState.NO, failure.runState());
      assertTrue(failure.retryAfter().isPresent());
    }
  }

  @Test
  void leavingUpstreamReceivesNoRequests() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      fixture.leaving = Set.of("runner0");
      for (int number = 0; number < 20; number++) {
        Dispatch dispatch = dispatcher.acquire(request("r" + number, "quotes")).join();
        assertEquals("runner1", dispatch.upstream().name());
      }
      assertEquals(0, fixture.violations());
    }
  }

  @Test
  void drainingReplicaIsUsedOnlyIfNoOtherReplicaHoldsTheVersion() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      fixture.replicas = List.of(replica(0, true), replica(1, false));
      assertEquals("runner1", dispatcher.acquire(request("1", "quotes")).join().upstream().name());
      assertEquals("runner1", dispatcher.acquire(request("2", "quotes")).join().upstream().name());
      fixture.replicas = List.of(replica(0, true));
      assertEquals("runner0", dispatcher.acquire(request("3", "quotes")).join().upstream().name());
    }
  }

  @Test
  void requestsWaitForCapacityAndLeaveTheQueueWhenCancelled() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      List<Dispatch> running = fill(dispatcher);
      CompletableFuture<Dispatch> cancelled = dispatcher.acquire(request("a", "quotes"));
      CompletableFuture<Dispatch> waiting = dispatcher.acquire(request("b", "quotes"));
      cancelled.cancel(false);
      assertFalse(waiting.isDone());
      running.get(0).finished(DispatchOutcome.SUCCEEDED);
      assertEquals("runner0", waiting.join().upstream().name());
    }
  }

  @Test
  void fullQueueRefusesImmediatelyWithRunStateNo() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(1)) {
      fill(dispatcher);
      dispatcher.acquire(request("a", "quotes"));
      AgatefieldException failure = failureOf(dispatcher.acquire(request("b", "quotes")));
      assertEquals(ErrorKind.OVERLOADED, failure.kind());
      assertEquals(RunState.NO, failure.runState());
    }
  }

  @Test
  void failedAttemptIsRetriedOnAnotherRunnerAndRunStateStaysUnknown() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      Dispatch first = dispatcher.acquire(request("1", "quotes")).join();
      Dispatch second = dispatcher.reacquire(first, DispatchOutcome.FAILED).join();
      assertNotEquals(first.upstream(), second.upstream());
      fixture.replicas = List.of();
      CompletableFuture<Dispatch> third = dispatcher.reacquire(second, DispatchOutcome.FAILED);
      assertEquals(RunState.UNKNOWN, failureOf(third).runState());
    }
  }

  @Test
  void startedResponsesContinueOnAnotherRunnerRegardlessOfRetryBudget() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(100)) {
      List<Dispatch> running = new ArrayList<>();
      for (int number = 0; number < 40; number++) {
        running.add(dispatcher.acquire(request("r" + number, "quotes")).join());
      }
      running.forEach(Dispatch::responseStarted);
      for (Dispatch dispatch : running) {
        CompletableFuture<Dispatch> resumed =
            dispatcher.reacquire(dispatch, DispatchOutcome.FAILED);
        assertFalse(resumed.isCompletedExceptionally());
      }
    }
  }

  @Test
  void unreachableRunnersAreTriedOnceEachAndRefusalHasRunStateNo() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      Dispatch first = dispatcher.acquire(request("1", "quotes")).join();
      Dispatch second = dispatcher.reacquire(first, DispatchOutcome.UNREACHABLE).join();
      AgatefieldException failure =
          failureOf(dispatcher.reacquire(second, DispatchOutcome.UNREACHABLE));
      assertEquals(ErrorKind.NO_UPSTREAM, failure.kind());
      assertEquals(RunState.NO, failure.runState());
    }
  }

  @Test
  void requestStaysInItsRegionWhileCapacityIsFree() {
    try (DispatchFixture fixture = new DispatchFixture(AWAY, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      for (int number = 0; number < 20; number++) {
        Dispatch dispatch = dispatcher.acquire(request("r" + number, "quotes")).join();
        assertEquals("runner1", dispatch.upstream().name());
        dispatch.finished(DispatchOutcome.SUCCEEDED);
      }
    }
  }

  @Test
  void loadFromOtherInstancesIsTakenFromReports() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      fixture.reports.put("runner0", report("boot", 20, 0));
      Dispatch dispatch = dispatcher.acquire(request("1", "quotes")).join();
      assertEquals("runner1", dispatch.upstream().name());
    }
  }

  @Test
  void adapterRequestIsDispatchedWithItsAdapterToRunnerThatHasItLoaded() {
    try (DispatchFixture fixture = new DispatchFixture(HOME, HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      fixture.reports.put("runner1", report("boot", 0, 0, "tone"));
      Dispatch dispatch = dispatcher.acquire(request("1", "tone")).join();
      assertEquals("runner1", dispatch.upstream().name());
      assertEquals(Optional.of("tone"), dispatch.adapter());
    }
  }

  @Test
  void serviceRequestGoesToRunnerOfTheService() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      ServiceRequest request =
          new ServiceRequest(
              "1",
              DispatchFixture.FINGERPRINT,
              "caller",
              "booking",
              Priority.STANDARD,
              Duration.ofSeconds(5),
              10);
      assertEquals("booking0", dispatcher.acquire(request).join().upstream().name());
    }
  }

  @Test
  void demandCountsArrivals() {
    try (DispatchFixture fixture = new DispatchFixture(HOME);
        RoutingDispatcher dispatcher = fixture.dispatcher(10)) {
      dispatcher.acquire(request("1", "quotes")).join();
      assertEquals(1, dispatcher.localDemand().size());
      assertEquals("quotes", dispatcher.localDemand().get(0).deployment());
    }
  }

  private static List<Dispatch> fill(RoutingDispatcher dispatcher) {
    List<Dispatch> running = new ArrayList<>();
    while (true) {
      CompletableFuture<Dispatch> future =
          dispatcher.acquire(request("fill" + running.size(), "quotes"));
      if (!future.isDone()) {
        future.cancel(false);
        return running;
      }
      running.add(future.join());
    }
  }
}
