package org.agatefield.fleet.answers;

import static org.agatefield.fleet.answers.AnswerFleet.GENEROUS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.ModelRequests;
import org.agatefield.fleet.answers.StreamConnection.ReadAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests requirements REQ-WHOLE-ANSWER and REQ-TRUE-REFUSAL with separate processes, against the
 * counters of the upstreams.
 */
class WholeAnswerProcessTest {
  @TempDir static Path directory;
  private static AnswerFleet answers;

  @BeforeAll
  static void start() {
    answers = new AnswerFleet(directory, 2);
  }

  @AfterAll
  static void stop() {
    answers.close();
  }

  @AfterEach
  void clearFaults() {
    AnswerFleet.ENGINES.forEach(engine -> answers.faults(engine, "{}"));
    answers.faults("booking-1", "{}");
    assertEquals(0, answers.violations());
  }

  @Test
  void streamsContinueToTheEndWhenTheirEngineIsKilled() {
    List<StreamConnection> streams = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      String daemon = AnswerFleet.DAEMONS.get(number % 2);
      streams.add(answers.stream(daemon, "killed-" + number, 500).startReading());
    }
    LocalFleet.await(
        "all streams have received tokens",
        GENEROUS,
        () -> streams.stream().noneMatch(stream -> stream.answer().text().isEmpty()));
    answers.fleet.process("engine-1").kill();
    final List<ReadAnswer> read = streams.stream().map(StreamConnection::readToEnd).toList();
    answers.fleet.startEngine("engine-1");
    answers.fleet.awaitAnswering("engine-1");
    answers.awaitHolding("engine-1");
    AnswerFleet.DAEMONS.forEach(answers::awaitBothReplicasUsed);
    for (int number = 0; number < read.size(); number++) {
      String requestId = read.get(number).requestId();
      assertEquals(AnswerFleet.expected(requestId, "killed-" + number, 500), read.get(number));
    }
  }

  @Test
  void crossedAnswersAreNotDelivered() {
    answers.faults("engine-1", "{\"crossAnswers\":true}");
    List<CompletableFuture<FleetHttp.Answer>> pending = new ArrayList<>();
    for (int number = 0; number < 80; number++) {
      String body = ModelRequests.chat(AnswerFleet.MODEL, "crossed-" + number, 30, false);
      pending.add(
          answers
              .fleet
              .http()
              .send(
                  HttpMethod.POST,
                  answers.fleet.address(AnswerFleet.DAEMONS.get(number % 2)),
                  "/v1/chat/completions",
                  Map.of("Content-Type", "application/json"),
                  body));
    }
    int complete = 0;
    for (int number = 0; number < pending.size(); number++) {
      FleetHttp.Answer answer = FleetHttp.await(pending.get(number), GENEROUS);
      JsonNode json = AnswerFleet.parse(answer.text());
      if (answer.status() == 200) {
        complete++;
        assertEquals(
            AnswerFleet.expected("", "crossed-" + number, 30).text(),
            json.path("choices").path(0).path("message").path("content").asText());
      } else {
        assertTrue(json.has("run"), answer.text());
      }
    }
    assertTrue(complete > 0);
    boolean crossed =
        AnswerFleet.DAEMONS.stream()
            .anyMatch(name -> answers.fleet.process(name).logText().contains("instead of"));
    assertTrue(crossed, "no daemon logged a crossed answer");
  }

  @Test
  void slowReaderGetsTheWholeAnswerWithoutDelayingOthers() {
    try (StreamConnection slow = answers.stream("entry-1", "slow", 3_000)) {
      ReadAnswer fast = answers.stream("entry-1", "fast", 3_000).readToEnd();
      assertEquals(AnswerFleet.expected(fast.requestId(), "fast", 3_000), fast);
      ReadAnswer read = slow.readToEnd();
      assertEquals(AnswerFleet.expected(read.requestId(), "slow", 3_000), read);
    }
  }

  @Test
  void callerThatGoesCancelsItsWork() {
    int before = answers.engineCount("cancelledGenerations");
    try (StreamConnection stream =
        answers.streamWithLongDeadline("entry-2", "gone", 5_000).startReading()) {
      awaitTokens(stream);
    }
    LocalFleet.await(
        "the engine cancels the generation",
        GENEROUS,
        () -> answers.engineCount("cancelledGenerations") > before);
    LocalFleet.await(
        "no engine has a running request",
        GENEROUS,
        () ->
            AnswerFleet.ENGINES.stream()
                .allMatch(
                    name -> answers.read(name, "/load").path("runningRequests").asInt() == 0));
  }

  @Test
  void bodiesOfSeveralMegabytesPassInBothDirections() {
    String prompt = "y".repeat(5_000_000);
    FleetHttp.Answer answer =
        answers.ask(
            "entry-1",
            ModelRequests.chat(AnswerFleet.MODEL, prompt, 5, false),
            Map.of("X-Request-Deadline-Ms", "3600000"));
    assertEquals(200, answer.status(), answer.text());
    assertEquals(
        AnswerFleet.expected("", prompt, 5).checksum(),
        AnswerFleet.parse(answer.text()).path("checksum").asText());
    answers.faults("booking-1", "{\"largeAnswerBytes\":5000000}");
    FleetHttp.Answer booked =
        answers.fleet.call(
            HttpMethod.POST,
            answers.fleet.address("entry-2"),
            "/services/booking/bookings",
            Map.of("Idempotency-Key", "large"),
            "{}");
    assertEquals(201, booked.status(), booked.text());
    assertEquals(5_000_000, AnswerFleet.parse(booked.text()).path("filler").asText().length());
  }

  @Test
  void refusalsThatSayNotRunAreTrueAtEachStage() {
    final int bookings = answers.read("booking-1", "/executions").path("total").asInt();
    String good = ModelRequests.chat(AnswerFleet.MODEL, "refused", 5, false);
    String unknown = ModelRequests.chat("unknown", "refused", 5, false);
    String negative = ModelRequests.chat(AnswerFleet.MODEL, "refused", -5, false);
    List<FleetHttp.Answer> refused =
        new ArrayList<>(
            List.of(
                answers.ask("entry-1", "{\"model\":", Map.of()),
                answers.ask("entry-1", unknown, Map.of()),
                answers.ask("entry-1", negative, Map.of()),
                answers.ask("entry-1", good, Map.of("Content-Type", "text/plain")),
                answers.ask("entry-1", good, Map.of("X-Request-Deadline-Ms", "0")),
                answers.ask("entry-1", "x".repeat(9_000_000), Map.of()),
                book("entry-1", Map.of()),
                book("entry-1", Map.of("Idempotency-Key", "k".repeat(300)))));
    AnswerFleet.ENGINES.forEach(engine -> answers.faults(engine, "{\"refuse\":true}"));
    refused.add(answers.ask("entry-2", good, Map.of()));
    for (FleetHttp.Answer answer : refused) {
      assertEquals("no", AnswerFleet.parse(answer.text()).path("run").asText(), answer.text());
      assertEquals(false, answers.wasExecuted(answer.headers().get("x-request-id")));
    }
    assertEquals(bookings, answers.read("booking-1", "/executions").path("total").asInt());
  }

  @Test
  void refusalsThatSayNotRunAreTrueUnderFlood() {
    List<CompletableFuture<FleetHttp.Answer>> pending = new ArrayList<>();
    for (int number = 0; number < 400; number++) {
      Map<String, String> headers =
          Map.of(
              "Content-Type",
              "application/json",
              "X-Request-Deadline-Ms",
              Integer.toString(50 + number * 5));
      pending.add(
          answers
              .fleet
              .http()
              .send(
                  HttpMethod.POST,
                  answers.fleet.address(AnswerFleet.DAEMONS.get(number % 2)),
                  "/v1/chat/completions",
                  headers,
                  ModelRequests.chat(AnswerFleet.MODEL, "flood-" + number, 200, false)));
    }
    List<String> notRun = new ArrayList<>();
    for (CompletableFuture<FleetHttp.Answer> each : pending) {
      FleetHttp.Answer answer = FleetHttp.await(each, GENEROUS);
      if (answer.status() != 200
          && AnswerFleet.parse(answer.text()).path("run").asText().equals("no")) {
        notRun.add(answer.headers().get("x-request-id"));
      }
    }
    String executions =
        AnswerFleet.ENGINES.stream()
            .map(name -> answers.read(name, "/violations").path("executions").toString())
            .reduce("", String::concat);
    List<String> falseRefusals =
        notRun.stream().filter(id -> executions.contains("\"" + id + ".")).toList();
    assertTrue(!notRun.isEmpty(), "no request of the flood was refused as not run");
    assertEquals(List.of(), falseRefusals);
  }

  /** Waits for the first token; fails at once, with the answer, if the stream ends without one. */
  private static void awaitTokens(StreamConnection stream) {
    LocalFleet.await(
        "tokens come or the answer ends",
        GENEROUS,
        () -> stream.isEnded() || !stream.answer().text().isEmpty());
    assertFalse(stream.answer().text().isEmpty(), stream::received);
  }

  private static FleetHttp.Answer book(String daemon, Map<String, String> headers) {
    return answers.fleet.call(
        HttpMethod.POST,
        answers.fleet.address(daemon),
        "/services/booking/bookings",
        headers,
        "{}");
  }
}
