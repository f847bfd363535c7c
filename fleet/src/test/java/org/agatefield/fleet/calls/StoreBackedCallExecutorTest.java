package org.agatefield.fleet.calls;

import static org.agatefield.fleet.calls.CallsBench.exchange;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.PlainService;
import org.agatefield.model.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests requirements REQ-AT-MOST-ONCE and REQ-TRUE-REFUSAL with the HTTP stand-in store. */
class StoreBackedCallExecutorTest {
  private static final Duration LONG_DEADLINE = Duration.ofSeconds(60);
  private static final Duration GENEROUS = Duration.ofSeconds(60);

  private final CallsBench bench = new CallsBench();

  @AfterEach
  void close() {
    bench.close();
    assertEquals(List.of(), bench.violations);
  }

  private StoreBackedCallExecutor instance(String id) {
    return bench.newInstance(id, FailPointHook.NONE, OutcomeQuery.NONE);
  }

  private CompletableFuture<ServiceResponse> book(StoreBackedCallExecutor instance, String key) {
    return bench.call(
        instance, key, "body", LONG_DEADLINE, bench.sender(key, this::answerImmediately));
  }

  private CompletableFuture<ServiceResponse> answerImmediately(int execution) {
    return CompletableFuture.completedFuture(exchange("execution " + execution));
  }

  private static AgatefieldException failureOf(CompletableFuture<?> future) {
    return AgatefieldException.from(assertThrows(CompletionException.class, future::join));
  }

  @Test
  void retryAtAnotherInstanceGetsTheSameAnswer() {
    ServiceResponse first = book(instance("a"), "key").join();
    ServiceResponse second = book(instance("b"), "key").join();
    assertEquals(exchange("execution 1"), first);
    assertEquals(first, second);
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void concurrentRetriesToAllInstancesRunOnce() {
    List<CompletableFuture<ServiceResponse>> answers = new ArrayList<>();
    for (int index = 0; index < 8; index++) {
      StoreBackedCallExecutor instance = instance("instance-" + index);
      for (int retry = 0; retry < 5; retry++) {
        answers.add(book(instance, "key"));
      }
    }
    for (CompletableFuture<ServiceResponse> answer : answers) {
      assertEquals(exchange("execution 1"), answer.join());
    }
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    book(instance("a"), "key").join();
    AgatefieldException failure =
        failureOf(
            bench.call(
                instance("b"),
                "key",
                "other",
                LONG_DEADLINE,
                bench.sender("key", this::answerImmediately)));
    assertEquals(ErrorKind.KEY_REUSED, failure.kind());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void answerOfSeveralMegabytesIsStoredCompletely() {
    String large = "x".repeat(3_000_000) + "end";
    StoreBackedCallExecutor first = instance("a");
    bench
        .call(
            first,
            "key",
            "body",
            LONG_DEADLINE,
            bench.sender("key", count -> CompletableFuture.completedFuture(exchange(large))))
        .join();
    ServiceResponse again = book(instance("b"), "key").join();
    assertTrue(Buffer.buffer(large).equals(again.body()));
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void lostAnswerToTheClaimIsReadBackAndTheCallRuns() {
    bench.storeFaults("{\"loseAnswersAfterEffect\":1,\"kind\":\"claims\",\"verb\":\"create\"}");
    assertEquals(exchange("execution 1"), book(instance("a"), "key").join());
    assertEquals(exchange("execution 1"), book(instance("b"), "key").join());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void lostAnswerToTheOutcomeIsReadBack() {
    bench.storeFaults("{\"loseAnswersAfterEffect\":1,\"kind\":\"claims\",\"verb\":\"update\"}");
    StoreBackedCallExecutor first = instance("a");
    assertEquals(exchange("execution 1"), book(first, "key").join());
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(exchange("execution 1"), book(instance("b"), "key").join());
  }

  @Test
  void callWhoseClaimTakesEffectLateIsNotSentAndTheClaimIsDeleted() {
    bench.storeFaults(
        "{\"delayEffectMilliseconds\":6000,\"delayEffectCount\":1,"
            + "\"kind\":\"claims\",\"verb\":\"create\"}");
    StoreBackedCallExecutor first = instance("a");
    AgatefieldException failure = failureOf(book(first, "key"));
    assertEquals(ErrorKind.STORE_UNAVAILABLE, failure.kind());
    assertEquals(RunState.NO, failure.runState());
    assertEquals(Map.of(), bench.executions);
    await().atMost(GENEROUS).until(() -> bench.storeCounts().contains("\"delete\":{\"claims\":1}"));
    assertEquals(exchange("execution 1"), book(instance("b"), "key").join());
  }

  @Test
  void callIsRefusedWithRetryAfterWhenTheStoreIsDownBeforeTheClaim() {
    bench.storeFaults("{\"down\":true}");
    StoreBackedCallExecutor first = instance("a");
    AgatefieldException failure = failureOf(book(first, "key"));
    assertEquals(ErrorKind.STORE_UNAVAILABLE, failure.kind());
    assertEquals(RunState.UNKNOWN, failure.runState());
    assertEquals(true, failure.retryAfter().isPresent());
    bench.storeFaults("{}");
    assertEquals(exchange("execution 1"), book(first, "key").join());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void outcomeIsServedWhileTheStoreIsDownAndStoredAfterwards() {
    StoreBackedCallExecutor first = instance("a");
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    final CompletableFuture<ServiceResponse> caller =
        bench.call(first, "key", "body", LONG_DEADLINE, bench.sender("key", count -> answer));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    bench.storeFaults("{\"down\":true}");
    answer.complete(exchange("late"));
    assertEquals(exchange("late"), caller.join());
    assertEquals(exchange("late"), book(first, "key").join());
    assertEquals(1, first.runningCalls());
    bench.storeFaults("{}");
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(exchange("late"), book(instance("b"), "key").join());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void answerReceivedAfterTheDeadlineIsStored() {
    StoreBackedCallExecutor first = instance("a");
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    CompletableFuture<ServiceResponse> caller =
        bench.call(
            first, "key", "body", Duration.ofSeconds(1), bench.sender("key", count -> answer));
    AgatefieldException failure = failureOf(caller);
    assertEquals(ErrorKind.DEADLINE_EXCEEDED, failure.kind());
    answer.complete(exchange("late"));
    assertEquals(exchange("late"), book(instance("b"), "key").join());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void callOfDeadInstanceIsNeverRunAgain() {
    StoreBackedCallExecutor first = instance("dead");
    bench.call(
        first,
        "key",
        "body",
        LONG_DEADLINE,
        bench.sender("key", count -> new CompletableFuture<>()));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    bench.aliveInstances.remove("dead");
    AgatefieldException failure = failureOf(book(instance("b"), "key"));
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, failure.kind());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void outcomeOfCallOfDeadInstanceIsQueriedFromTheService() {
    StoreBackedCallExecutor first = instance("dead");
    bench.call(
        first,
        "key",
        "body",
        LONG_DEADLINE,
        bench.sender("key", count -> new CompletableFuture<>()));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    bench.aliveInstances.remove("dead");
    OutcomeQuery query = call -> CompletableFuture.completedFuture(Optional.of(exchange("asked")));
    StoreBackedCallExecutor querying = bench.newInstance("b", FailPointHook.NONE, query);
    PlainService service =
        new PlainService("booking", List.of(), Optional.of("/outcomes/{key}"), 2_000);
    ServiceResponse queried =
        bench
            .call(
                querying,
                service,
                "key",
                "body",
                LONG_DEADLINE,
                new CallsBench.FreeDispatcher(),
                bench.sender("key", this::answerImmediately))
            .join();
    assertEquals(exchange("asked"), queried);
    StoreBackedCallExecutor third = instance("c");
    await()
        .atMost(GENEROUS)
        .untilAsserted(() -> assertEquals(exchange("asked"), book(third, "key").join()));
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void callRunningAtAnotherInstanceIsReportedInProgressAfterTheJoinLimit() {
    CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
    bench.call(instance("a"), "key", "body", LONG_DEADLINE, bench.sender("key", count -> answer));
    await().atMost(GENEROUS).until(() -> bench.executions.containsKey("key"));
    StoreBackedCallExecutor second = instance("b");
    AgatefieldException failure = failureOf(book(second, "key"));
    assertEquals(ErrorKind.KEY_IN_PROGRESS, failure.kind());
    answer.complete(exchange("done"));
    await()
        .atMost(GENEROUS)
        .untilAsserted(() -> assertEquals(exchange("done"), book(second, "key").join()));
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void refusedConnectionReleasesTheClaimAndRetryRuns() {
    StoreBackedCallExecutor first = instance("a");
    AgatefieldException refused =
        new AgatefieldException(ErrorKind.NO_UPSTREAM, "connection refused");
    AgatefieldException failure =
        failureOf(
            bench.call(
                first,
                "key",
                "body",
                LONG_DEADLINE,
                upstream -> CompletableFuture.failedFuture(refused)));
    assertEquals(RunState.NO, failure.runState());
    assertEquals(exchange("execution 1"), book(first, "key").join());
  }

  @Test
  void secondUpstreamIsTriedWhenTheFirstRefusesTheConnection() {
    AgatefieldException refused =
        new AgatefieldException(ErrorKind.NO_UPSTREAM, "connection refused");
    List<String> attempts = new ArrayList<>();
    ServiceResponse answer =
        bench
            .call(
                instance("a"),
                new PlainService("booking", List.of(), Optional.empty(), 2_000),
                "key",
                "body",
                LONG_DEADLINE,
                new CallsBench.FreeDispatcher(2),
                upstream -> {
                  attempts.add("try");
                  return attempts.size() == 1
                      ? CompletableFuture.failedFuture(refused)
                      : CompletableFuture.completedFuture(exchange("second"));
                })
            .join();
    assertEquals(exchange("second"), answer);
    assertEquals(2, attempts.size());
  }

  @Test
  void brokenConnectionAfterSendingIsNeverRunAgain() {
    AgatefieldException reset = new AgatefieldException(ErrorKind.UPSTREAM_FAILED, "reset");
    StoreBackedCallExecutor first = instance("a");
    AgatefieldException failure =
        failureOf(
            bench.call(
                first,
                "key",
                "body",
                LONG_DEADLINE,
                bench.sender("key", count -> CompletableFuture.failedFuture(reset))));
    assertEquals(ErrorKind.UPSTREAM_FAILED, failure.kind());
    assertEquals(RunState.UNKNOWN, failure.runState());
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, failureOf(book(first, "key")).kind());
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, failureOf(book(instance("b"), "key")).kind());
    assertEquals(Map.of("key", 1), bench.executions);
  }

  @Test
  void callPausedBetweenClaimAndSendPastItsDeadlineIsNotSent() {
    CompletableFuture<Void> paused = new CompletableFuture<>();
    CompletableFuture<Void> resume = new CompletableFuture<>();
    FailPointHook hook =
        (step, subject) -> {
          if (step == FailPoint.AFTER_CLAIM && paused.complete(null)) {
            resume.join();
          }
        };
    StoreBackedCallExecutor pausedInstance = bench.newInstance("sleeper", hook, OutcomeQuery.NONE);
    CompletableFuture<ServiceResponse> caller =
        bench.call(
            pausedInstance,
            "key",
            "body",
            Duration.ofMillis(200),
            bench.sender("key", this::answerImmediately));
    paused.join();
    CompletableFuture.delayedExecutor(400, TimeUnit.MILLISECONDS)
        .execute(() -> resume.complete(null));
    failureOf(caller);
    await().atMost(GENEROUS).until(() -> bench.storeCounts().contains("\"delete\""));
    assertEquals(Map.of(), bench.executions);
    assertEquals(exchange("execution 1"), book(instance("b"), "key").join());
  }
}
