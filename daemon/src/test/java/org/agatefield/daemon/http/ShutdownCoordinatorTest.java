package org.agatefield.daemon.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.standin.engine.TokenSequence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requirement REQ-GRACEFUL: tests the steps of a graceful shutdown with a manual clock. */
class ShutdownCoordinatorTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long SECOND = 1_000_000_000L;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicLong now = new AtomicLong(1_000 * SECOND);
  private final AtomicInteger calls = new AtomicInteger();
  private final AtomicInteger violations = new AtomicInteger();
  private final AtomicInteger clockReads = new AtomicInteger();
  private final ShutdownCoordinator coordinator =
      new ShutdownCoordinator(
          vertx,
          Duration.ofSeconds(30),
          Duration.ofSeconds(2),
          Duration.ofSeconds(60),
          calls::get,
          new CountingMonitor(),
          this::readClock);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void servesUntilAllEntryAnswersThatNameItHaveExpired() {
    final CompletableFuture<Boolean> result = coordinator.beginShutdown(() -> {});
    assertTrue(coordinator.isLeaving());
    advanceTo(1_031 * SECOND);
    assertTrue(coordinator.tryBeginRequest());
    advanceTo(1_033 * SECOND);
    assertFalse(coordinator.tryBeginRequest());
    assertFalse(result.isDone());
    coordinator.requestCompletion().run();
    assertTrue(result.join());
    assertEquals(0, violations.get());
  }

  @Test
  void measuresTheTimeToLiveFromTheLastEntryAnswerThatNamedIt() {
    coordinator.beginShutdown(() -> {});
    advanceTo(1_020 * SECOND);
    coordinator.recordEntryAnswer();
    advanceTo(1_049 * SECOND);
    assertTrue(coordinator.tryBeginRequest());
    advanceTo(1_051 * SECOND);
    assertFalse(coordinator.tryBeginRequest());
  }

  @Test
  void waitsForCallsWhoseOutcomeIsNotStoredYet() {
    calls.set(1);
    CompletableFuture<Boolean> result = coordinator.beginShutdown(() -> {});
    advanceTo(1_040 * SECOND);
    assertFalse(result.isDone());
    calls.set(0);
    assertTrue(result.join());
  }

  @Test
  void reportsRequestsThatStillRunAfterTheDrainTimeout() {
    assertTrue(coordinator.tryBeginRequest());
    CompletableFuture<Boolean> result = coordinator.beginShutdown(() -> {});
    advanceTo(1_033 * SECOND);
    now.set(1_094 * SECOND);
    assertFalse(result.join());
    assertEquals(1, violations.get());
  }

  @Test
  void deregistersEachRequestOnceAndAnnouncesLeavingOnce() {
    final AtomicInteger announcements = new AtomicInteger();
    assertTrue(coordinator.tryBeginRequest() && coordinator.tryBeginRequest());
    Runnable requestCompletion = coordinator.requestCompletion();
    requestCompletion.run();
    requestCompletion.run();
    assertEquals(1, coordinator.running());
    coordinator.beginShutdown(announcements::incrementAndGet);
    coordinator.beginShutdown(announcements::incrementAndGet);
    assertEquals(1, announcements.get());
  }

  @Test
  void finishesRunningStreamsAndRefusesRequestsAfterwards() {
    try (CallerApiHarness harness = new CallerApiHarness()) {
      harness.startEngine(20);
      String body = "{\"model\":\"quotes\",\"prompt\":\"seal\",\"max_tokens\":60,\"stream\":true}";
      final CompletableFuture<HttpResponse<String>> stream =
          CompletableFuture.supplyAsync(
              () -> harness.post(harness.address, "/v1/completions", body));
      await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 1);
      CompletableFuture<Boolean> result = harness.shutdown.beginShutdown(() -> {});
      assertEquals(503, harness.get(harness.address, "/readyz").statusCode());
      assertEquals(200, harness.get(harness.address, "/healthz").statusCode());
      assertTrue(result.join());
      String text = TokenSequence.of("quotes@v1", "seal", 60).text();
      assertEquals(text, StreamText.read(stream.join().body()).text());
      HttpResponse<String> refused = harness.post(harness.address, "/v1/completions", body);
      assertEquals(503, refused.statusCode());
      assertTrue(refused.body().contains("\"shutting_down\""), refused.body());
      assertTrue(refused.body().contains("\"run\":\"no\""), refused.body());
      assertEquals(0, harness.violations.get());
    }
  }

  @Test
  void answersRequestsThatOutlastTheDrainTimeoutBeforeTheConnectionsClose() {
    String plain = "{\"model\":\"quotes\",\"prompt\":\"seal\",\"max_tokens\":600}";
    String streamed = plain.replace("600}", "600,\"stream\":true}");
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    try (CallerApiHarness harness = new CallerApiHarness(Duration.ofMillis(500))) {
      harness.startEngine(20);
      for (String body : List.of(plain, streamed)) {
        answers.add(
            CompletableFuture.supplyAsync(
                () -> harness.post(harness.address, "/v1/completions", body)));
      }
      await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 2);
      assertFalse(harness.shutdown.beginShutdown(() -> {}).join());
    }
    HttpResponse<String> answer = answers.get(0).join();
    assertEquals(504, answer.statusCode());
    assertTrue(answer.body().contains("\"run\":\"unknown\""), answer.body());
    assertThrows(CompletionException.class, () -> answers.get(1).join());
  }

  @Test
  void refusesRequestsThatStillWaitForAnUpstreamAfterTheDrainTimeout() {
    String body = "{\"model\":\"quotes\",\"prompt\":\"seal\",\"max_tokens\":600}";
    CompletableFuture<HttpResponse<String>> answer;
    try (CallerApiHarness harness = new CallerApiHarness(Duration.ofMillis(500))) {
      harness.dispatcher.hold(new CompletableFuture<>());
      answer =
          CompletableFuture.supplyAsync(
              () -> harness.post(harness.address, "/v1/completions", body));
      await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 1);
      assertFalse(harness.shutdown.beginShutdown(() -> {}).join());
    }
    assertEquals(503, answer.join().statusCode());
    assertTrue(answer.join().body().contains("\"run\":\"no\""), answer.join().body());
  }

  @Test
  void outlastsRequestsThatBeginWhileItLeavesForTheDrainTimeout() {
    assertTrue(coordinator.outlasts(Duration.ofSeconds(61)));
    coordinator.beginShutdown(() -> {});
    assertTrue(coordinator.outlasts(Duration.ofSeconds(60)));
    assertFalse(coordinator.outlasts(Duration.ofSeconds(61)));
  }

  @Test
  void refusesNonRepeatableCallsThatMayOutlastTheDrainTimeoutAsSoonAsItLeaves() {
    try (CallerApiHarness harness = new CallerApiHarness(Duration.ofSeconds(2))) {
      harness.startService();
      final CompletableFuture<Boolean> result = harness.shutdown.beginShutdown(() -> {});
      HttpResponse<String> refused =
          harness.post(
              harness.address,
              "/services/booking/bookings",
              "{}",
              "Idempotency-Key",
              "key-1",
              "X-Request-Deadline-Ms",
              "30000");
      assertEquals(503, refused.statusCode());
      assertTrue(refused.body().contains("\"shutting_down\""), refused.body());
      assertTrue(refused.body().contains("\"run\":\"no\""), refused.body());
      assertEquals(0, harness.dispatcher.attempts());
      assertTrue(result.join());
    }
  }

  private long readClock() {
    clockReads.incrementAndGet();
    return now.get();
  }

  /** Sets the clock and waits until the coordinator has read it. */
  private void advanceTo(long nanoseconds) {
    now.set(nanoseconds);
    int before = clockReads.get();
    await().atMost(TIMEOUT).until(() -> clockReads.get() > before + 1);
  }

  /** Counts violations. */
  private final class CountingMonitor implements InvariantMonitor {
    @Override
    public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
      if (!holds) {
        violations.incrementAndGet();
      }
    }

    @Override
    public long violations() {
      return violations.get();
    }
  }
}
