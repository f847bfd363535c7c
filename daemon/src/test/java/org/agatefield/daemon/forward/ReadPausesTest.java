package org.agatefield.daemon.forward;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReadPausesTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final Vertx vertx = Vertx.vertx();
  private final List<String> calls = new CopyOnWriteArrayList<>();
  private final ReadPauses pauses = new ReadPauses(vertx, recordingResponse());

  /** Returns a response that records the names of the methods that are called. */
  private HttpClientResponse recordingResponse() {
    return (HttpClientResponse)
        Proxy.newProxyInstance(
            HttpClientResponse.class.getClassLoader(),
            new Class<?>[] {HttpClientResponse.class},
            (proxy, method, arguments) -> {
              calls.add(method.getName());
              return proxy;
            });
  }

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Guards against a response that is read without end while other sockets wait. */
  @Test
  void readingStopsForOneTurnAfterItsShareOfBytes() {
    pauses.bytesRead(ReadPauses.BYTES_PER_TURN - 1);
    assertEquals(List.of(), calls);
    pauses.bytesRead(1);
    await().atMost(TIMEOUT).until(() -> calls.equals(List.of("pause", "resume")));
  }

  /** Guards against pieces of one byte, each of which costs time. */
  @Test
  void readingStopsForOneTurnAfterItsShareOfPieces() {
    for (int piece = 1; piece < ReadPauses.PIECES_PER_TURN; piece++) {
      pauses.bytesRead(1);
    }
    assertEquals(List.of(), calls);
    pauses.bytesRead(1);
    await().atMost(TIMEOUT).until(() -> calls.equals(List.of("pause", "resume")));
  }

  @Test
  void readingGoesOnOnlyWithoutAnyReason() {
    pauses.pause(ReadPauses.Reason.CALLER);
    pauses.pause(ReadPauses.Reason.MEMORY);
    pauses.resume(ReadPauses.Reason.CALLER);
    assertTrue(pauses.isPaused());
    assertEquals(List.of("pause"), calls);
    pauses.resume(ReadPauses.Reason.MEMORY);
    assertFalse(pauses.isPaused());
    assertEquals(List.of("pause", "resume"), calls);
  }

  @Test
  void closedCallIsNeitherPausedNorResumed() {
    pauses.pause(ReadPauses.Reason.CALLER);
    pauses.close();
    pauses.resume(ReadPauses.Reason.CALLER);
    pauses.pause(ReadPauses.Reason.MEMORY);
    assertEquals(List.of("pause"), calls);
  }
}
