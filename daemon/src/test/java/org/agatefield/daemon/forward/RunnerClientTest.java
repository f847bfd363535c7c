package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Uses a runner on a real socket that answers nothing. */
class RunnerClientTest {
  private static final long TIMEOUT_SECONDS = 10;
  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static final int LARGEST_REQUEST_BYTES = 4_096;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Guards against an order that arrives after it was given up, from behind a cut (review/11). */
  @Test
  void orderThatIsGivenUpLeavesNoBytesToDeliver() throws Exception {
    RunnerClient client =
        new RunnerClient(
            RunnerClient.createHttpClient(vertx),
            new TextRunnerDialect(
                () -> {
                  throw new AssertionError("the runner answers nothing");
                }));
    try (ServerSocket runner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<RunnerClient.Response> call =
          client.sendOrder(entry(runner.getLocalPort()), Buffer.buffer("order"));
      try (Socket connection = runner.accept()) {
        connection.setSoTimeout(TIMEOUT_MILLISECONDS);
        assertThrows(ExecutionException.class, () -> call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        InputStream received = connection.getInputStream();
        assertTrue(received.readNBytes(1).length > 0);
        assertThrows(SocketException.class, () -> readToEnd(received), "closed without a reset");
      }
    }
  }

  private static void readToEnd(InputStream input) throws IOException {
    input.readNBytes(LARGEST_REQUEST_BYTES);
  }

  private static RunnerEntry entry(int port) {
    return new RunnerEntry(
        "r",
        1,
        OptionalLong.empty(),
        "service",
        new Address("127.0.0.1", port),
        "domain",
        96,
        false,
        OptionalLong.empty(),
        Optional.empty(),
        Set.of(),
        Set.of());
  }
}
