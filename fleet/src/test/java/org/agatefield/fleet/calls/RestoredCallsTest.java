package org.agatefield.fleet.calls;

import static org.agatefield.fleet.calls.CallsBench.exchange;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.PlainService;
import org.agatefield.model.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requirement REQ-AT-MOST-ONCE with a stand-in store that comes back from an older copy. */
class RestoredCallsTest {
  private static final Duration LONG_DEADLINE = Duration.ofSeconds(60);
  private static final Duration GENEROUS = Duration.ofSeconds(60);

  private final CallsBench bench = new CallsBench();

  @BeforeEach
  void keepCopy() {
    bench.storeFaults("{\"keepCopy\":true}");
  }

  @AfterEach
  void close() {
    bench.close();
    assertEquals(List.of(), bench.violations);
  }

  private void restore() {
    bench.storeFaults("{\"restoreCopy\":true}");
  }

  private StoreBackedCallExecutor instance(String id) {
    return bench.newInstance(id, FailPointHook.NONE, OutcomeQuery.NONE);
  }

  private CompletableFuture<ServiceResponse> book(StoreBackedCallExecutor instance, String key) {
    return bench
        .call(
            instance,
            key,
            "body",
            LONG_DEADLINE,
            bench.sender(
                key, count -> CompletableFuture.completedFuture(exchange("execution " + count))))
        .orTimeout(GENEROUS.toSeconds(), TimeUnit.SECONDS);
  }

  private static AgatefieldException failureOf(CompletableFuture<?> future) {
    return AgatefieldException.from(assertThrows(CompletionException.class, future::join));
  }

  /** Returns a version 7 UUID that was created a while after now. */
  private static String keyCreatedIn(Duration lead) {
    long time = System.currentTimeMillis() + lead.toMillis();
    UUID random = UUID.randomUUID();
    long high = time << 16 | 7L << 12 | random.getMostSignificantBits() & 0xFFF;
    return new UUID(high, random.getLeastSignificantBits()).toString();
  }

  @Test
  void callWhoseClaimTheStoreHasForgottenIsNeverRunAgain() {
    checkNeverRunAgain("key");
  }

  @Test
  void callWithTimeInItsKeyWhoseClaimTheStoreHasForgottenIsNeverRunAgain() {
    checkNeverRunAgain(keyCreatedIn(Duration.ZERO));
  }

  private void checkNeverRunAgain(String key) {
    StoreBackedCallExecutor first = instance("a");
    assertEquals(exchange("execution 1"), book(first, key).join());
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    restore();
    AgatefieldException failure = failureOf(book(instance("b"), key));
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, failure.kind());
    assertEquals(RunState.UNKNOWN, failure.runState());
    assertEquals(1, bench.executions.get(key));
  }

  @Test
  void callWithKeyThatWasCreatedAfterTheStoreCameBackRuns() throws InterruptedException {
    book(instance("a"), "other").join();
    restore();
    StoreBackedCallExecutor second = instance("b");
    failureOf(book(second, "unknown")); // writes down when the era began
    Thread.sleep(5);
    String key = keyCreatedIn(Duration.ZERO);
    assertEquals(exchange("execution 1"), book(second, key).join());
    assertEquals(exchange("execution 1"), book(instance("c"), key).join());
    assertEquals(1, bench.executions.get(key));
  }

  @Test
  void instanceThatStartsLaterKnowsWhenTheEraBegan() throws InterruptedException {
    restore();
    failureOf(book(instance("a"), "unknown"));
    Thread.sleep(5);
    String key = keyCreatedIn(Duration.ZERO);
    assertEquals(exchange("execution 1"), book(instance("b"), key).join());
  }

  @Test
  void claimCreatedInLaterEraThanItsAbsenceWasReadIsNotUsed() {
    String key = keyCreatedIn(Duration.ZERO);
    CompletableFuture<Void> absent = new CompletableFuture<>();
    CompletableFuture<Void> resume = new CompletableFuture<>();
    final CompletableFuture<ServiceResponse> paused =
        bench.call(
            instance("paused"),
            new PlainService("booking", List.of(), Optional.empty(), 2_000),
            key,
            "body",
            LONG_DEADLINE,
            new PausedDispatcher(absent, resume),
            bench.sender(key, count -> CompletableFuture.completedFuture(exchange("again"))));
    absent.join();
    book(instance("other"), key).join();
    restore();
    resume.complete(null);
    AgatefieldException failure = failureOf(paused);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, failure.kind());
    assertEquals(Map.of(key, 1), bench.executions);
  }

  @Test
  void outcomeOfCallWhoseClaimIsForgottenWhileItRunsIsStored() {
    StoreBackedCallExecutor first = instance("a");
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    final CompletableFuture<ServiceResponse> caller =
        bench.call(first, "key", "body", LONG_DEADLINE, bench.sender("key", count -> answer));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    restore();
    answer.complete(exchange("late"));
    assertEquals(exchange("late"), caller.join());
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(exchange("late"), book(instance("b"), "key").join());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void outcomeOfSeveralMegabytesIsStoredAgain() {
    StoreBackedCallExecutor first = instance("a");
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    bench.call(first, "key", "body", LONG_DEADLINE, bench.sender("key", count -> answer));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    restore();
    ServiceResponse large = exchange("x".repeat(3_000_000) + "end");
    answer.complete(large);
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(large, book(instance("b"), "key").join());
  }

  @Test
  void runningCallIsKnownToOtherInstancesAgain() {
    StoreBackedCallExecutor first = instance("a");
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    bench.call(first, "key", "body", LONG_DEADLINE, bench.sender("key", count -> answer));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    restore();
    failureOf(book(first, "other")); // shows the instance that the store is in a new era
    StoreBackedCallExecutor second = instance("b");
    await()
        .atMost(GENEROUS)
        .untilAsserted(
            () -> assertEquals(ErrorKind.KEY_IN_PROGRESS, failureOf(book(second, "key")).kind()));
    answer.complete(exchange("done"));
    await()
        .atMost(GENEROUS)
        .untilAsserted(() -> assertEquals(exchange("done"), book(second, "key").join()));
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void recentAnswersAreStoredAgain() {
    StoreBackedCallExecutor first = instance("a");
    for (int call = 0; call < 20; call++) {
      assertEquals(exchange("execution 1"), book(first, "key-" + call).join());
    }
    restore();
    failureOf(book(first, "other")); // shows the instance that the store is in a new era
    for (int call = 0; call < 20; call++) {
      String key = "key-" + call;
      StoreBackedCallExecutor second = instance("b");
      await()
          .atMost(GENEROUS)
          .ignoreExceptions()
          .untilAsserted(() -> assertEquals(exchange("execution 1"), book(second, key).join()));
      assertEquals(1, bench.executions.get(key));
    }
  }

  @Test
  void serviceIsAskedForTheOutcomeOfForgottenCall() {
    book(instance("a"), "key").join();
    restore();
    OutcomeQuery query = call -> CompletableFuture.completedFuture(Optional.of(exchange("asked")));
    PlainService service =
        new PlainService("booking", List.of(), Optional.of("/outcomes/{key}"), 2_000);
    ServiceResponse answer =
        bench
            .call(
                bench.newInstance("b", FailPointHook.NONE, query),
                service,
                "key",
                "body",
                LONG_DEADLINE,
                new CallsBench.FreeDispatcher(),
                bench.sender("key", count -> new CompletableFuture<>()))
            .join();
    assertEquals(exchange("asked"), answer);
    assertEquals(Map.of("key", 1), bench.executions);
  }

  /** Chooses an upstream once it may resume. */
  private record PausedDispatcher(
      CompletableFuture<Void> reached, CompletableFuture<Void> resume, Dispatcher free)
      implements Dispatcher {
    PausedDispatcher(CompletableFuture<Void> reached, CompletableFuture<Void> resume) {
      this(reached, resume, new CallsBench.FreeDispatcher());
    }

    @Override
    public CompletableFuture<Dispatch> acquire(ModelRequest request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Dispatch> acquire(ServiceRequest request) {
      reached.complete(null);
      return resume.thenCompose(done -> free.acquire(request));
    }

    @Override
    public CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome) {
      throw new UnsupportedOperationException();
    }
  }
}
