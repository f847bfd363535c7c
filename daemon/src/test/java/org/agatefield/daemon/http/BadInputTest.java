package org.agatefield.daemon.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requirement REQ-ERRORS: each invalid input is refused with its error kind and runs nothing, and
 * the daemon keeps serving.
 */
class BadInputTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int READ_TIMEOUT_MILLISECONDS = 20_000;
  private static final String COMPLETIONS = "/v1/completions";
  private static final String VALID_BODY =
      "{\"model\":\"quotes\",\"prompt\":\"x\",\"max_tokens\":2}";

  private final CallerApiHarness harness = new CallerApiHarness();
  private Address engine;
  private Address service;

  @BeforeEach
  void start() {
    engine = harness.startEngine(1);
    service = harness.startService();
  }

  @AfterEach
  void servesFurtherRequests() {
    assertEquals(200, harness.post(harness.address, COMPLETIONS, VALID_BODY).statusCode());
    assertEquals(1, record().path("generationStarts").asInt());
    assertEquals(0, executions().path("total").asInt());
    assertEquals(0, harness.shutdown.running());
    harness.close();
  }

  @Test
  void refusesMalformedBodies() {
    assertRefused(400, "invalid_request", COMPLETIONS, "");
    assertRefused(400, "invalid_request", COMPLETIONS, "{\"model\":");
    assertRefused(400, "invalid_request", COMPLETIONS, "[1]");
    assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY + VALID_BODY);
    assertRefused(
        400, "invalid_request", COMPLETIONS, VALID_BODY.replace("}", ",\"model\":\"b\"}"));
    assertRefused(400, "invalid_request", COMPLETIONS, "{\"prompt\":\"x\"}");
    assertRefused(400, "invalid_request", COMPLETIONS, "{\"model\":\"quotes\"}");
    assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY.replace("\"x\"", "7"));
    assertRefused(
        400, "invalid_request", "/v1/chat/completions", "{\"model\":\"quotes\",\"messages\":[]}");
  }

  @Test
  void refusesNumbersOutOfRange() {
    for (String count : new String[] {"-5", "0", "1.5", "\"7\"", "99999999999", "{}"}) {
      assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY.replace(":2", ":" + count));
    }
    assertRefused(
        400,
        "invalid_request",
        COMPLETIONS,
        VALID_BODY.replace("}", ",\"continue_from_token\":3}"));
    assertRefused(
        400, "invalid_request", COMPLETIONS, VALID_BODY.replace("}", ",\"stream\":\"yes\"}"));
  }

  @Test
  void refusesUnknownNamesAndPaths() {
    assertRefused(404, "not_found", COMPLETIONS, VALID_BODY.replace("quotes", "unknown"));
    assertRefused(404, "not_found", "/services/unknown/bookings", "{}");
    assertRefused(404, "not_found", "/v1/unknown", "{}");
    assertRefused(404, "not_found", "/v1/models", "{}");
  }

  @Test
  void refusesNonRepeatableCallsWithoutValidKey() {
    assertRefused(400, "missing_idempotency_key", "/services/booking/bookings", "{}");
    assertRefused(
        400,
        "invalid_request",
        "/services/booking/bookings",
        "{}",
        "Idempotency-Key",
        "k".repeat(256));
  }

  @Test
  void refusesMalformedHeaders() {
    assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY, "X-Request-Deadline-Ms", "soon");
    assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY, "X-Request-Deadline-Ms", "-1");
    assertRefused(400, "invalid_request", COMPLETIONS, VALID_BODY, "X-Request-Priority", "highest");
  }

  @Test
  void refusesOtherContentTypes() {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + harness.address + COMPLETIONS))
            .header("Content-Type", "text/plain")
            .POST(HttpRequest.BodyPublishers.ofString(VALID_BODY));
    assertError(400, "invalid_request", harness.send(request));
  }

  @Test
  void refusesBodiesOverTheLimitWithAndWithoutContentLength() {
    String large = VALID_BODY.replace("\"x\"", "\"" + "x".repeat(5 * 1024 * 1024) + "\"");
    String head = "POST " + COMPLETIONS + " HTTP/1.1\r\nHost: a\r\n";
    String withContentLength = head + "Content-Length: " + large.length() + "\r\n\r\n";
    assertTrue(exchange(withContentLength).contains("body_too_large"));
    String chunk = Integer.toHexString(large.length()) + "\r\n" + large + "\r\n0\r\n\r\n";
    assertTrue(
        exchange(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk).contains("body_too_large"));
  }

  @Test
  void refusesHeadersOverTheLimit() {
    String header = "X-Filler: " + "x".repeat(20_000) + "\r\n";
    String answer = exchange("POST " + COMPLETIONS + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n");
    assertTrue(answer.startsWith("HTTP/1.1 431"), answer);
    assertTrue(answer.contains("headers_too_large"), answer);
  }

  @Test
  void refusesInputThatIsNotHttp() {
    assertTrue(exchange("nonsense\r\n\r\n").contains("invalid_request"));
  }

  @Test
  void releasesRequestsOfCallersThatDisconnectDuringTheBody() throws IOException {
    try (Socket socket = connect()) {
      String head = "POST " + COMPLETIONS + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n";
      write(socket, head + "{\"model\"");
      await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 1);
    }
    await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 0);
  }

  @Test
  void releasesRequestsOfCallersThatCloseTheirHalfDuringTheBody() throws IOException {
    try (Socket socket = connect()) {
      write(
          socket, "POST " + COMPLETIONS + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{");
      socket.shutdownOutput();
      await().atMost(TIMEOUT).until(() -> harness.shutdown.running() == 0);
    }
  }

  private void assertRefused(int status, String code, String path, String body, String... headers) {
    assertError(status, code, harness.post(harness.address, path, body, headers));
  }

  private static void assertError(int status, String code, HttpResponse<String> response) {
    JsonNode answer = StreamText.parse(response.body());
    assertEquals(status, response.statusCode(), response.body());
    assertEquals(code, answer.path("error").path("code").asText());
    assertEquals("no", answer.path("run").asText());
  }

  private JsonNode record() {
    return StreamText.parse(harness.get(engine, "/violations").body());
  }

  private JsonNode executions() {
    return StreamText.parse(harness.get(service, "/executions").body());
  }

  private Socket connect() throws IOException {
    return new Socket(harness.address.host(), harness.address.port());
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream output = socket.getOutputStream();
    output.write(text.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  /** Sends text as it is and returns everything received until the connection is closed. */
  private String exchange(String text) {
    try (Socket socket = connect()) {
      socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
      Thread writer = new Thread(() -> writeQuietly(socket, text));
      writer.start();
      String answer = readAll(socket.getInputStream());
      writer.join();
      return answer;
    } catch (IOException | InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static void writeQuietly(Socket socket, String text) {
    try {
      write(socket, text);
    } catch (IOException exception) {
      // The daemon may close the connection before it has read everything.
    }
  }

  private static String readAll(InputStream input) {
    StringBuilder answer = new StringBuilder();
    try {
      int next = input.read();
      while (next >= 0) {
        answer.append((char) next);
        next = input.read();
      }
    } catch (IOException exception) {
      // The text received before the connection was reset is the answer.
    }
    return answer.toString();
  }
}
