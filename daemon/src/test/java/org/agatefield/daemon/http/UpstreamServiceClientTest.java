package org.agatefield.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requirement REQ-WHOLE-ANSWER: tests the client of plain services against faulty runners. */
class UpstreamServiceClientTest {
  private final Vertx vertx = Vertx.vertx();
  private final UpstreamServiceClient client = new UpstreamServiceClient(vertx);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static UpstreamServiceRequest request(String path) {
    return new UpstreamServiceRequest(
        HttpMethod.GET, path, Map.of(), Buffer.buffer(), Duration.ofSeconds(5));
  }

  private static Address addressOf(NetServer server) {
    return new Address("127.0.0.1", server.actualPort());
  }

  @Test
  void responseToEarlierRequestOnItsConnectionIsNotTakenForThatToTheNext() {
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  StringBuilder first = new StringBuilder();
                  socket.handler(
                      bytes -> {
                        if (first.length() == 0) {
                          first.append(bytes.toString().split(" ")[1]);
                        }
                        socket.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(first.length(), first));
                      });
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    for (int number = 0; number < 5; number++) {
      String path = "/call/" + number;
      assertEquals(path, client.send(addressOf(server), request(path)).join().body().toString());
    }
  }

  /** Guards against statuses that are no answer and reach callers as one, such as 000 or 600. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "199", "-1", "2xx", "600", "999", "6000"})
  void statusThatIsNoneOfHttpIsNoAnswer(String status) {
    String response = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody";
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(socket -> socket.handler(bytes -> socket.write(response)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    CompletionException thrown =
        assertThrows(
            CompletionException.class,
            () -> client.send(addressOf(server), request("/odd")).join());
    assertEquals(ErrorKind.UPSTREAM_FAILED, AgatefieldException.from(thrown).kind());
  }

  @Test
  void headThatStopsHalfWayIsNoAnswer() {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n";
    for (int length : new int[] {5, 16, 30, head.length()}) {
      NetServer server =
          vertx
              .createNetServer()
              .connectHandler(
                  socket ->
                      socket.handler(bytes -> socket.end(Buffer.buffer(head.substring(0, length)))))
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .join();
      assertThrows(
          CompletionException.class, () -> client.send(addressOf(server), request("/half")).join());
    }
  }
}
