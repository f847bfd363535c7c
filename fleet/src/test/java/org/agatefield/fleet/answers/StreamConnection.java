package org.agatefield.fleet.answers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.agatefield.fleet.FleetException;
import org.agatefield.model.Address;

/**
 * Sends one streamed request on its own connection and reads the answer in a thread, which starts
 * only on {@link #startReading()} or {@link #readToEnd()}, so that tests can act as slow readers.
 *
 * <p>Thread-safe.
 */
final class StreamConnection implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int TIMEOUT_MILLISECONDS = 120_000;

  private final Socket socket = new Socket();
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private final Thread reader = new Thread(this::read, "stream-reader");
  private volatile boolean ended;

  /** Connects and sends the request without reading the answer. */
  StreamConnection(Address daemon, String body) {
    this(daemon, body, "");
  }

  /**
   * Connects and sends the request without reading the answer.
   *
   * @param headers further lines of the head, each with its end
   */
  StreamConnection(Address daemon, String body, String headers) {
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: agatefield\r\nConnection: close\r\n"
            + headers
            + "Content-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    try {
      socket.setReceiveBufferSize(4096);
      socket.connect(new InetSocketAddress(daemon.host(), daemon.port()), TIMEOUT_MILLISECONDS);
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
    } catch (IOException exception) {
      throw new FleetException("cannot connect to " + daemon, exception);
    }
  }

  /** Starts the thread that reads the answer. */
  StreamConnection startReading() {
    reader.start();
    return this;
  }

  /** Reads until the connection ends and returns the answer received. */
  ReadAnswer readToEnd() {
    try {
      if (reader.getState() == Thread.State.NEW) {
        startReading();
      }
      reader.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while reading the answer", exception);
    }
    return answer();
  }

  /** Returns the answer received so far. */
  ReadAnswer answer() {
    String response = received();
    int body = response.indexOf("\r\n\r\n");
    return body < 0
        ? new ReadAnswer("", "", "", "", false)
        : parse(response, response.substring(body));
  }

  /** Returns all bytes received so far, for messages of failed tests. */
  String received() {
    synchronized (received) {
      return received.toString(StandardCharsets.UTF_8);
    }
  }

  boolean isEnded() {
    return ended;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException exception) {
      throw new FleetException("cannot close the connection", exception);
    }
  }

  private void read() {
    byte[] buffer = new byte[8192];
    try {
      InputStream input = socket.getInputStream();
      int length = input.read(buffer);
      while (length >= 0) {
        synchronized (received) {
          received.write(buffer, 0, length);
        }
        length = input.read(buffer);
      }
    } catch (IOException exception) {
      // A broken connection ends the answer; the bytes received so far are evaluated.
    }
    ended = true;
  }

  private static ReadAnswer parse(String response, String body) {
    StringBuilder text = new StringBuilder();
    String checksum = "";
    String error =
        response.startsWith("HTTP/1.1 200") ? "" : response.lines().findFirst().orElse("");
    boolean done = false;
    for (String line : body.lines().filter(each -> each.startsWith("data: ")).toList()) {
      String data = line.substring("data: ".length());
      if (data.equals("[DONE]")) {
        done = true;
        continue;
      }
      JsonNode chunk = json(data);
      text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
      checksum = chunk.path("checksum").asText(checksum);
      error = chunk.path("error").path("code").asText(error);
    }
    return new ReadAnswer(requestId(response), text.toString(), checksum, error, done);
  }

  private static String requestId(String response) {
    return response
        .lines()
        .filter(line -> line.regionMatches(true, 0, "x-request-id: ", 0, 14))
        .map(line -> line.substring(14).trim())
        .findFirst()
        .orElse("");
  }

  private static JsonNode json(String data) {
    try {
      return MAPPER.readTree(data);
    } catch (IOException exception) {
      return MAPPER.createObjectNode();
    }
  }

  /**
   * The received part of an answer. Immutable.
   *
   * @param requestId the daemon's identifier of the request
   * @param text the concatenated tokens
   * @param checksum the engine's checksum; empty if the answer is incomplete
   * @param error the code of the error, or the status line; empty if there was none
   * @param done whether the end marker was received
   */
  record ReadAnswer(String requestId, String text, String checksum, String error, boolean done) {}
}
