package org.agatefield.daemon.peers;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.agatefield.store.ContentLimits;
import org.junit.jupiter.api.Test;

class CompressedJsonTest {
  private static final int STACK_BYTES = 262_144; // the stack of a deployed instance's threads

  private static Optional<JsonNode> decompress(int depth) {
    String text = "[".repeat(depth) + "]".repeat(depth);
    return CompressedJson.decompress(text.getBytes(UTF_8), ContentLimits.ORDINARY);
  }

  @Test
  void documentsThatAreNestedTooDeeplyAreRejected() {
    assertTrue(decompress(80).isPresent());
    for (int depth : List.of(300, 900, 5_000)) {
      assertTrue(decompress(depth).isEmpty(), "depth " + depth);
    }
  }

  @Test
  void documentsOfPeersArePassedOnWithSmallStack() throws InterruptedException {
    AtomicReference<Throwable> failure = new AtomicReference<>();
    Thread thread = new Thread(null, CompressedJsonTest::passOn, "small-stack", STACK_BYTES);
    thread.setUncaughtExceptionHandler((failed, cause) -> failure.set(cause));
    thread.start();
    thread.join();
    assertNull(failure.get());
  }

  private static void passOn() {
    for (int depth : List.of(80, 100, 300, 900)) {
      decompress(depth)
          .ifPresent(
              tree -> {
                byte[] bytes = CompressedJson.compress(tree);
                if (depth <= 80) {
                  assertEquals(
                      tree, CompressedJson.decompress(bytes, ContentLimits.ORDINARY).orElseThrow());
                }
              });
    }
  }
}
