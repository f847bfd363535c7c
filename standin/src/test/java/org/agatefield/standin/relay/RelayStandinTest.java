package org.agatefield.standin.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the relay delivers every byte in order under any delay and bandwidth. */
class RelayStandinTest {
  private static final int BYTES = 300_000;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    join(vertx.close());
  }

  @Test
  void preservesByteOrderUnderChangingDelayAndBandwidth() throws IOException {
    NetServer echo = vertx.createNetServer().connectHandler(RelayStandinTest::echo);
    int target = join(echo.listen(0, "127.0.0.1")).actualPort();
    RelayStandin relay = new RelayStandin(vertx, "127.0.0.1", target);
    int port = join(relay.start(0));
    byte[] sent = new byte[BYTES];
    new Random(42).nextBytes(sent);
    byte[] received = new byte[0];
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(30_000);
      for (int start = 0; start < BYTES; start += BYTES / 30) {
        int round = start / (BYTES / 30);
        relay.applyBehaviour(new RelayBehaviour(round % 4, round % 3 * 100_000_000L, false, false));
        socket.getOutputStream().write(sent, start, BYTES / 30);
      }
      received = socket.getInputStream().readNBytes(BYTES);
    }
    assertArrayEquals(sent, received);
  }

  private static void echo(NetSocket socket) {
    socket.handler(socket::write);
  }

  private static <T> T join(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }
}
