package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ObjectRelayTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.RUNNER, "i-1");

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final ObjectRelay relay = new ObjectRelay(vertx, "process", () -> 0);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Uses the relay on its event loop, to which it is confined. */
  private <T> T onEventLoop(Supplier<T> use) {
    CompletableFuture<T> used = new CompletableFuture<>();
    context.runOnContext(run -> used.complete(use.get()));
    return used.join();
  }

  private PeerMessage.ObjectsAnswer request(String fromVersion) {
    PeerMessage.ObjectsRequest request =
        new PeerMessage.ObjectsRequest(ObjectKind.RUNNER.plural(), fromVersion, 1);
    return (PeerMessage.ObjectsAnswer) onEventLoop(() -> relay.answer(request)).join();
  }

  /** Passes on a list that holds one object, or that lacks the one before. */
  private void list(String version, boolean holdsObject) {
    onEventLoop(
        () -> {
          relay.listed(version);
          if (holdsObject) {
            relay.changed(
                new StoredObject(KEY, version, List.of(), JsonNodeFactory.instance.objectNode()));
          } else {
            relay.lost(KEY);
          }
          relay.confirmed();
          return relay;
        });
  }

  @Test
  void objectsThatTheStoreHasLostAreNotRelayedAsDeleted() {
    list("1/5", true);
    String version = request("").version();
    assertFalse(request(version).whole());
    list("2/3", false);
    PeerMessage.ObjectsAnswer answer = request(version);
    assertTrue(answer.whole());
    assertTrue(answer.objects().isEmpty());
  }

  /** Guards against neighbours that learn of a removal late as their relay's watch is silent. */
  @Test
  void nothingIsRelayedFromAnInterruptedWatchUntilItIsConfirmed() {
    list("1", true);
    String version = request("").version();
    CompletableFuture<PeerMessage> waiting =
        onEventLoop(
            () ->
                relay.answer(
                    new PeerMessage.ObjectsRequest(ObjectKind.RUNNER.plural(), version, 60_000)));
    onEventLoop(
        () -> {
          relay.interrupted();
          return relay;
        });
    assertTrue(waiting.isCompletedExceptionally());
    assertThrows(CompletionException.class, () -> request(""));
    list("1", true);
    assertTrue(request("").whole());
  }
}
