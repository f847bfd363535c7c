package org.agatefield.fleet.calls;

import static org.agatefield.fleet.calls.BookingFleet.GENEROUS;
import static org.agatefield.fleet.calls.BookingFleet.codeOf;
import static org.agatefield.fleet.calls.BookingFleet.isDone;
import static org.agatefield.fleet.calls.BookingFleet.runOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.StepFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests requirements REQ-AT-MOST-ONCE and REQ-TRUE-REFUSAL with separate processes; the service
 * counts executions by key.
 */
class AtMostOnceProcessTest {
  private static final String BODY = "{\"visit\":1}";

  @TempDir static Path directory;
  private static BookingFleet bookings;

  @BeforeAll
  static void start() {
    bookings = new BookingFleet(directory);
  }

  @AfterAll
  static void stop() {
    bookings.close();
  }

  @AfterEach
  void clearFaults() {
    bookings.storeFaults("{}");
    bookings.serviceFaults("{}");
    assertEquals(0, bookings.violations());
  }

  @Test
  void callWhoseInstanceDiesBeforeTheClaimRunsOnRetry() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.BEFORE_CLAIM, "k-before", true);
    bookings.send("entry-1", "k-before", BODY, Map.of());
    fault.awaitReached();
    bookings.bookUntilDone("entry-2", "k-before");
    bookings.restart("entry-1");
    assertEquals(1, bookings.executions("k-before"));
  }

  @Test
  void callWhoseInstanceDiesAfterTheClaimIsNeverRun() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.AFTER_CLAIM, "k-claimed", true);
    bookings.send("entry-1", "k-claimed", BODY, Map.of());
    fault.awaitReached();
    FleetHttp.Answer answer = bookings.bookUntil("entry-2", "k-claimed", 504);
    assertEquals("outcome_unknown", codeOf(answer));
    bookings.restart("entry-1");
    assertEquals("outcome_unknown", codeOf(bookings.bookUntil("entry-1", "k-claimed", 504)));
    assertEquals(0, bookings.executions("k-claimed"));
  }

  @Test
  void callWhoseInstanceDiesAfterSendingGetsItsOutcomeFromTheService() {
    bookings.restart("entry-1");
    bookings.serviceFaults("{\"answerLateMilliseconds\":600000,\"calls\":1}");
    bookings.send("entry-1", "k-sent", BODY, Map.of());
    awaitExecuted("k-sent");
    bookings.fleet.process("entry-1").kill();
    FleetHttp.Answer second = bookings.bookUntilDone("entry-2", "k-sent");
    FleetHttp.Answer third = bookings.bookUntilDone("entry-3", "k-sent");
    bookings.restart("entry-1");
    assertEquals(second.text(), third.text());
    assertEquals(1, bookings.executions("k-sent"));
  }

  @Test
  void callWhoseInstanceDiesBeforeWritingTheOutcomeGetsItFromTheService() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.BEFORE_OUTCOME, "k-outcome", true);
    bookings.send("entry-1", "k-outcome", BODY, Map.of());
    fault.awaitReached();
    bookings.bookUntilDone("entry-2", "k-outcome");
    bookings.restart("entry-1");
    bookings.bookUntilDone("entry-1", "k-outcome");
    assertEquals(1, bookings.executions("k-outcome"));
  }

  @Test
  void callRunsOnceWhenTheClaimAnswerIsLostAndTheInstanceDiesAfterSending() {
    bookings.restart("entry-1");
    bookings.storeFaults("{\"loseAnswersAfterEffect\":1,\"kind\":\"claims\",\"verb\":\"create\"}");
    bookings.serviceFaults("{\"answerLateMilliseconds\":600000,\"calls\":1}");
    bookings.send("entry-1", "k-two", BODY, Map.of());
    awaitExecuted("k-two");
    bookings.fleet.process("entry-1").kill();
    bookings.bookUntilDone("entry-2", "k-two");
    bookings.restart("entry-1");
    assertEquals(1, bookings.executions("k-two"));
  }

  @Test
  void callRunsOnceWhenItsInstanceDiesBeforeTheOutcomeWhileTheStoreIsDown() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.BEFORE_OUTCOME, "k-both", false);
    bookings.send("entry-1", "k-both", BODY, Map.of());
    fault.awaitReached();
    bookings.storeFaults("{\"down\":true}");
    bookings.fleet.process("entry-1").kill();
    assertEquals("unknown", runOf(bookings.book("entry-2", "k-both")));
    bookings.storeFaults("{}");
    bookings.bookUntilDone("entry-2", "k-both");
    bookings.restart("entry-1");
    assertEquals(1, bookings.executions("k-both"));
  }

  @Test
  void callRunsOnceWhenTheClaimAnswerIsLost() {
    bookings.storeFaults("{\"loseAnswersAfterEffect\":1,\"kind\":\"claims\",\"verb\":\"create\"}");
    FleetHttp.Answer first = bookings.bookUntilDone("entry-2", "k-lost");
    assertEquals(first.text(), bookings.bookUntilDone("entry-3", "k-lost").text());
    assertEquals(1, bookings.executions("k-lost"));
  }

  @Test
  void claimThatTakesEffectLateIsRefusedAsNotRunAndRunsOnRetry() {
    bookings.storeFaults(
        "{\"delayEffectMilliseconds\":4000,\"delayEffectCount\":1,"
            + "\"kind\":\"claims\",\"verb\":\"create\"}");
    FleetHttp.Answer refused = bookings.book("entry-2", "k-late");
    assertEquals("store_unavailable", codeOf(refused));
    assertEquals(0, bookings.executions("k-late"));
    bookings.bookUntilDone("entry-3", "k-late");
    assertEquals(1, bookings.executions("k-late"));
  }

  @Test
  void callPausedBetweenClaimAndSendRunsOnceAfterResume() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.AFTER_CLAIM, "k-paused", false);
    Map<String, String> longDeadline = Map.of("X-Request-Deadline-Ms", "60000");
    bookings.send("entry-1", "k-paused", BODY, longDeadline);
    fault.awaitReached();
    FleetHttp.Answer meanwhile = bookings.book("entry-2", "k-paused");
    assertTrue(meanwhile.status() == 409 || meanwhile.status() == 504);
    assertEquals("unknown", runOf(meanwhile));
    fault.goOn();
    bookings.bookUntilDone("entry-2", "k-paused");
    assertEquals(1, bookings.executions("k-paused"));
  }

  @Test
  void callPausedPastItsDeadlineIsNotSentAndRunsOnRetry() {
    StepFault fault = bookings.restartWith("entry-1", FailPoint.AFTER_CLAIM, "k-expired", false);
    bookings.send("entry-1", "k-expired", BODY, Map.of("X-Request-Deadline-Ms", "300"));
    fault.awaitReached();
    bookings.fleet.process("entry-1").pause();
    bookings.bookUntil("entry-2", "k-expired", 504);
    assertEquals(0, bookings.executions("k-expired"));
    bookings.fleet.process("entry-1").resume();
    fault.goOn();
    bookings.bookUntilDone("entry-2", "k-expired");
    assertEquals(1, bookings.executions("k-expired"));
  }

  @Test
  void callIsRefusedWithRetryAfterWhenTheStoreIsDownAtTheFirstRead() {
    bookings.storeFaults("{\"down\":true}");
    FleetHttp.Answer refused = bookings.book("entry-2", "k-down");
    assertEquals("store_unavailable", codeOf(refused));
    assertTrue(refused.headers().containsKey("retry-after"));
    assertEquals(0, bookings.executions("k-down"));
    bookings.storeFaults("{}");
    bookings.bookUntilDone("entry-2", "k-down");
    assertEquals(1, bookings.executions("k-down"));
  }

  @Test
  void callIsRefusedAsNotRunWhenTheStoreIsDownBeforeTheClaim() {
    StepFault fault =
        bookings.restartWith("entry-1", FailPoint.BEFORE_CLAIM, "k-down-claim", false);
    final CompletableFuture<FleetHttp.Answer> caller =
        bookings.send("entry-1", "k-down-claim", BODY, Map.of());
    fault.awaitReached();
    bookings.storeFaults("{\"down\":true}");
    fault.goOn();
    FleetHttp.Answer refused = FleetHttp.await(caller, GENEROUS);
    assertEquals("store_unavailable", codeOf(refused));
    assertEquals("no", runOf(refused));
    bookings.storeFaults("{}");
    bookings.bookUntilDone("entry-2", "k-down-claim");
    assertEquals(1, bookings.executions("k-down-claim"));
  }

  @Test
  void callRunsAndIsRecordedLaterWhenTheStoreIsDownAfterTheClaim() {
    checkStoreDownAt(FailPoint.AFTER_CLAIM, "k-down-send");
  }

  @Test
  void outcomeIsRecordedLaterWhenTheStoreIsDownBeforeItIsWritten() {
    checkStoreDownAt(FailPoint.BEFORE_OUTCOME, "k-down-outcome");
  }

  private static void checkStoreDownAt(FailPoint step, String key) {
    StepFault fault = bookings.restartWith("entry-1", step, key, false);
    final CompletableFuture<FleetHttp.Answer> caller =
        bookings.send("entry-1", key, BODY, Map.of());
    fault.awaitReached();
    bookings.storeFaults("{\"down\":true}");
    fault.goOn();
    FleetHttp.Answer first = FleetHttp.await(caller, GENEROUS);
    assertEquals(201, first.status());
    assertEquals(first.text(), bookings.book("entry-1", key).text());
    assertEquals(503, bookings.book("entry-2", key).status());
    bookings.storeFaults("{}");
    assertEquals(first.text(), bookings.bookUntilDone("entry-2", key).text());
    assertEquals(1, bookings.executions(key));
  }

  @Test
  void callWhoseConnectionIsRefusedIsNotRunAndRunsOnRetry() {
    bookings.fleet.process("booking-1").kill();
    FleetHttp.Answer refused = bookings.book("entry-2", "k-refused");
    assertEquals(503, refused.status());
    assertEquals("no", runOf(refused));
    bookings.fleet.startService("booking-1");
    bookings.fleet.awaitAnswering("booking-1");
    bookings.bookUntilDone("entry-3", "k-refused");
    assertEquals(1, bookings.executions("k-refused"));
  }

  @Test
  void callResetAfterItsExecutionGetsItsOutcomeFromTheService() {
    bookings.serviceFaults("{\"resetAfterExecution\":true,\"calls\":1}");
    FleetHttp.Answer first = bookings.bookUntilDone("entry-2", "k-reset-after");
    assertEquals(first.text(), bookings.bookUntilDone("entry-3", "k-reset-after").text());
    assertEquals(1, bookings.executions("k-reset-after"));
  }

  @Test
  void callResetBeforeItsExecutionIsNeverRunAgain() {
    bookings.serviceFaults("{\"resetBeforeExecution\":true,\"calls\":1}");
    FleetHttp.Answer first = bookings.book("entry-2", "k-reset-before");
    assertEquals("unknown", runOf(first));
    FleetHttp.Answer again = bookings.bookUntil("entry-3", "k-reset-before", 504);
    assertEquals("outcome_unknown", codeOf(again));
    assertEquals(0, bookings.executions("k-reset-before"));
  }

  @Test
  void answerReceivedAfterTheDeadlineIsReturnedToTheRetry() {
    bookings.serviceFaults("{\"answerLateMilliseconds\":2000,\"calls\":1}");
    FleetHttp.Answer late =
        FleetHttp.await(
            bookings.send("entry-2", "k-slow", BODY, Map.of("X-Request-Deadline-Ms", "500")),
            GENEROUS);
    assertEquals(504, late.status());
    assertEquals("unknown", runOf(late));
    FleetHttp.Answer third = bookings.bookUntilDone("entry-3", "k-slow");
    assertEquals(third.text(), bookings.bookUntilDone("entry-2", "k-slow").text());
    assertEquals(1, bookings.executions("k-slow"));
  }

  @Test
  void sameKeyWithAnotherBodyConflicts() {
    bookings.bookUntilDone("entry-2", "k-body");
    FleetHttp.Answer other =
        FleetHttp.await(bookings.send("entry-3", "k-body", "{\"visit\":2}", Map.of()), GENEROUS);
    assertEquals("key_reused", codeOf(other));
    assertEquals(1, bookings.executions("k-body"));
  }

  @Test
  void concurrentRetriesToAllInstancesRunOnce() {
    bookings.serviceFaults("{\"slowMilliseconds\":300}");
    for (int round = 0; round < 5; round++) {
      String key = "k-storm-" + round;
      Set<String> answers = new HashSet<>();
      while (answers.isEmpty() || answers.contains("")) {
        answers.clear();
        answers.addAll(sendConcurrentRetries(key));
      }
      assertEquals(1, answers.size());
      assertEquals(1, bookings.executions(key));
    }
  }

  /** Sends 60 concurrent retries and returns their answers, empty for calls that are not done. */
  private static List<String> sendConcurrentRetries(String key) {
    List<CompletableFuture<FleetHttp.Answer>> calls = new ArrayList<>();
    for (int retry = 0; retry < 60; retry++) {
      calls.add(bookings.send("entry-" + (1 + retry % 3), key, BODY, Map.of()));
    }
    return calls.stream()
        .map(call -> FleetHttp.await(call, GENEROUS))
        .map(answer -> isDone(answer) ? answer.text() : "")
        .toList();
  }

  private static void awaitExecuted(String key) {
    LocalFleet.await(
        "booking " + key + " is executed", GENEROUS, () -> bookings.executions(key) == 1);
  }
}
