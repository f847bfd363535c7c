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
 * One streamed request on a connection of its own, read by a thread only when it is told to.
 *
 * <p>Safe for use by any thread.
 */
final class StreamConnection implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int TIMEOUT_MILLISECONDS = 120_000;

  private final Socket socket = new Socket();
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private final Thread reader = new Thread(this::read, "stream-reader");
  private volatile boolean ended;

  /** Sends a request; nothing is read yet. */
  StreamConnection(Address daemon, String body) {
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: agatefield\r\nConnection: close\r\n"
            + "Content-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    try {
      socket.setReceiveBufferSize(4096);
      socket.connect(new InetSocketAddress(daemon.host(), daemon.port()), TIMEOUT_MILLISECONDS);
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
    } catch (IOException exception) {
      throw new FleetException("no connection to " + daemon, exception);
    }
  }

  /** Begins to read. */
  StreamConnection startReading() {
    reader.start();
    return this;
  }

  /** Reads to the end and returns what came. */
  ReadAnswer readToEnd() {
    try {
      if (reader.getState() == Thread.State.NEW) {
        startReading();
      }
      reader.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
    return answer();
  }

  /** Returns what has come so far. */
  ReadAnswer answer() {
    String all;
    synchronized (received) {
      all = received.toString(StandardCharsets.UTF_8);
    }
    int body = all.indexOf("\r\n\r\n");
    return body < 0 ? new ReadAnswer("", "", "", "", false) : parse(all, all.substring(body));
  }

  boolean isEnded() {
    return ended;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException exception) {
      throw new FleetException("the connection cannot be closed", exception);
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
      // A cut connection ends the answer; what came counts.
    }
    ended = true;
  }

  private static ReadAnswer parse(String all, String body) {
    StringBuilder text = new StringBuilder();
    String checksum = "";
    String error = all.startsWith("HTTP/1.1 200") ? "" : all.lines().findFirst().orElse("");
    boolean done = false;
    for (String line : body.lines().filter(each -> each.startsWith("data: ")).toList()) {
      String data = line.substring("data: ".length());
      if (data.equals("[DONE]")) {
        done = true;
        continue;
      }
      JsonNode part = json(data);
      text.append(part.path("choices").path(0).path("delta").path("content").asText(""));
      checksum = part.path("checksum").asText(checksum);
      error = part.path("error").path("code").asText(error);
    }
    return new ReadAnswer(requestId(all), text.toString(), checksum, error, done);
  }

  private static String requestId(String all) {
    return all.lines()
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
   * What was read of an answer. Immutable.
   *
   * @param requestId the daemon's identifier of the request
   * @param text the tokens, joined
   * @param checksum the engine's checksum; empty if the answer did not end
   * @param error the code of the error, or the status line; empty if there was none
   * @param done whether the end marker came
   */
  record ReadAnswer(String requestId, String text, String checksum, String error, boolean done) {}
}
