package org.agatefield.fleet.calls;

import static org.agatefield.fleet.calls.CallsBench.exchange;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.agatefield.daemon.calls.CallLimits;
import org.agatefield.daemon.calls.ClaimSweeper;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.daemon.leases.LeaseManager;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.PlainService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the number of store operations per non-repeatable call and the retention of claims. */
class CallCostTest {
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
  void expiredKeyIsRefused() {
    String expiredKey = "018bcfe5-6800-7000-8000-000000000000";
    AgatefieldException failure = failureOf(book(instance("a"), expiredKey));
    assertEquals(ErrorKind.KEY_EXPIRED, failure.kind());
    assertEquals(Map.of(), bench.executions);
  }

  @Test
  void bookingTakesTwoWritesAndOneRead() {
    StoreBackedCallExecutor first = instance("a");
    for (int index = 0; index < 100; index++) {
      book(first, "key-" + index).join();
    }
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(
        "{\"calls\":{\"create\":{\"claims\":100},\"get\":{\"claims\":100},"
            + "\"update\":{\"claims\":100}},\"total\":300,\"waitingWatches\":0}",
        bench.storeCounts().trim());
  }

  @Test
  void leaseHolderDeletesClaimsAfterTheirRetention() {
    CallLimits limits = CallsBench.shortLimits(Duration.ofMillis(1));
    StoreBackedCallExecutor first =
        bench.newInstance("a", FailPointHook.NONE, OutcomeQuery.NONE, limits);
    PlainService service = new PlainService("booking", List.of(), Optional.empty(), 1);
    for (int index = 0; index < 30; index++) {
      String key = "key-" + index;
      bench
          .call(
              first,
              service,
              key,
              "body",
              LONG_DEADLINE,
              new CallsBench.FreeDispatcher(),
              bench.sender(key, this::answerImmediately))
          .join();
    }
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    for (String holder : List.of("x", "y")) {
      LeaseManager lease =
          bench.closer.register(
              new LeaseManager(
                  bench.vertx, bench.newStore(), "sweeper", holder, Duration.ofSeconds(2)));
      bench.closer.register(
          new ClaimSweeper(
              bench.vertx,
              bench.newStore(),
              lease,
              limits,
              Duration.ofMillis(50),
              new MetricRegistry()));
    }
    await()
        .atMost(GENEROUS)
        .until(() -> bench.storeCounts().contains("\"delete\":{\"claims\":30}"));
  }

  @Test
  void retriesOfFinishedCallDoNotReadTheStoreEachTime() {
    StoreBackedCallExecutor first = instance("a");
    for (int retry = 0; retry < 100; retry++) {
      assertEquals(exchange("execution 1"), book(first, "key").join());
    }
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    assertEquals(
        "{\"calls\":{\"create\":{\"claims\":1},\"get\":{\"claims\":1},"
            + "\"update\":{\"claims\":1}},\"total\":3,\"waitingWatches\":0}",
        bench.storeCounts().trim());
  }

  /** Guards against a reply that reaches its caller before the instance has cached it. */
  @Test
  void retryAtTheMomentOfTheReplyDoesNotReadTheStore() {
    StoreBackedCallExecutor first = instance("a");
    book(first, "key").join();
    await().atMost(GENEROUS).until(() -> first.runningCalls() == 0);
    StoreBackedCallExecutor second = instance("b");
    ServiceResponse retried = book(second, "key").thenCompose(reply -> book(second, "key")).join();
    assertEquals(exchange("execution 1"), retried);
    assertEquals(
        "{\"calls\":{\"create\":{\"claims\":1},\"get\":{\"claims\":2},"
            + "\"update\":{\"claims\":1}},\"total\":4,\"waitingWatches\":0}",
        bench.storeCounts().trim());
  }

  @Test
  void storedAnswerIsNotReturnedForAnotherBody() {
    StoreBackedCallExecutor first = instance("a");
    book(first, "key").join();
    AgatefieldException failure =
        failureOf(
            bench.call(
                first,
                "key",
                "other",
                LONG_DEADLINE,
                bench.sender("key", this::answerImmediately)));
    assertEquals(ErrorKind.KEY_REUSED, failure.kind());
  }
}
