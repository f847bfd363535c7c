package org.agatefield.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.model.Address;
import org.agatefield.standin.engine.TokenSequence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Requirement REQ-CALLERS: callers get complete answers or an error that states whether the request
 * ran.
 */
class CallerApiTest {
  private static final String COMPLETION =
      "{\"model\":\"quotes\",\"prompt\":\"seal\",\"max_tokens\":20,\"stream\":true}";

  private final CallerApiHarness harness = new CallerApiHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  @Test
  void streamsAnAnswerWithTheRequestedModelName() {
    harness.startEngine(1);
    HttpResponse<String> response = harness.post(harness.address, "/v1/completions", COMPLETION);
    String text = TokenSequence.of("quotes@v1", "seal", 20).text();
    StreamText expected =
        new StreamText(text, TokenSequence.checksum("seal", text), List.of("quotes"), "", true);
    assertEquals(expected, StreamText.read(response.body()));
    assertEquals(List.of(DispatchOutcome.SUCCEEDED), harness.dispatcher.outcomes());
  }

  @Test
  void answersChatInOnePieceIfNoStreamIsRequested() {
    harness.startEngine(1);
    HttpResponse<String> response =
        harness.post(
            harness.address,
            "/v1/chat/completions",
            "{\"model\":\"quotes\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
                + "\"max_tokens\":5}");
    JsonNode answer = StreamText.parse(response.body());
    assertEquals(200, response.statusCode());
    assertEquals("quotes", answer.path("model").asText());
    assertEquals(
        TokenSequence.of("quotes@v1", "hello\n", 5).text(),
        answer.path("choices").path(0).path("message").path("content").asText());
  }

  @Test
  void loadsAnAdapterThatTheEngineHasNotLoaded() {
    harness.startEngine(1);
    String body = COMPLETION.replace("quotes", "kochi");
    StreamText answer =
        StreamText.read(harness.post(harness.address, "/v1/completions", body).body());
    assertEquals(TokenSequence.of("quotes@v1:kochi", "seal", 20).text(), answer.text());
    assertEquals(List.of("kochi"), answer.models());
  }

  @Test
  void resumesCutStreamsOnOtherReplicasWithoutLosingOrRepeatingTokens() {
    Address first = harness.startEngine(1);
    Address second = harness.startEngine(1);
    harness.startEngine(1);
    harness.post(first, "/faults", "{\"resetAfterTokens\":7}");
    harness.post(second, "/faults", "{\"endWithoutDoneAfterTokens\":13}");
    StreamText answer =
        StreamText.read(harness.post(harness.address, "/v1/completions", COMPLETION).body());
    String text = TokenSequence.of("quotes@v1", "seal", 20).text();
    assertEquals(
        new StreamText(text, TokenSequence.checksum("seal", text), List.of("quotes"), "", true),
        answer);
    assertEquals(
        List.of(DispatchOutcome.FAILED, DispatchOutcome.FAILED, DispatchOutcome.SUCCEEDED),
        harness.dispatcher.outcomes());
  }

  @Test
  void forwardsServiceCallsAndBooksOnce() {
    Address service = harness.startService();
    HttpResponse<String> booked =
        harness.post(
            harness.address, "/services/booking/bookings", "{}", "Idempotency-Key", "key-1");
    assertEquals(201, booked.statusCode());
    String identifier = StreamText.parse(booked.body()).path("id").asText();
    HttpResponse<String> read =
        harness.get(harness.address, "/services/booking/bookings/" + identifier);
    assertEquals(booked.body(), read.body());
    assertTrue(harness.get(service, "/executions").body().contains("\"total\":1"));
  }
}
