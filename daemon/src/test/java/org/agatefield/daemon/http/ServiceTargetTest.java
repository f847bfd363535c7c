package org.agatefield.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.agatefield.model.UpstreamKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against targets that reach a service in other bytes than they were sent (review/10). */
class ServiceTargetTest {
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

  private final CallerApiHarness harness = new CallerApiHarness();
  private final List<String> requestLines = new CopyOnWriteArrayList<>();

  @BeforeEach
  void startService() {
    harness.dispatcher.addServiceRunner(
        CallerApiHarness.upstream(
            harness.startUpstream(this::answer), UpstreamKind.SERVICE_RUNNER));
  }

  private String answer(Buffer request) {
    requestLines.add(request.toString().split("\r\n")[0]);
    return ANSWER;
  }

  @AfterEach
  void close() {
    harness.close();
  }

  private int get(String path, Charset charset) throws IOException {
    String request = "GET /services/booking" + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    try (Socket socket = new Socket(harness.address.host(), harness.address.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
      socket.getOutputStream().write(request.getBytes(charset));
      byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      return Integer.parseInt(new String(statusLine, StandardCharsets.US_ASCII).split(" ")[1]);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/café", "/a?q=ü", "/😀", "/%C3%A9", "/a%20b?c"})
  void pathAndQueryAreForwardedByteForByte(String path) throws IOException {
    assertEquals(200, get(path, StandardCharsets.UTF_8));
    assertEquals(List.of("GET " + path + " HTTP/1.1"), requestLines);
  }

  @Test
  void targetThatCannotBeForwardedByteForByteIsRefused() throws IOException {
    assertEquals(400, get("/café", StandardCharsets.ISO_8859_1));
    assertEquals(List.of(), requestLines);
  }
}
