package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

  private void change(ObjectKey key, String version) {
    onEventLoop(
        () -> {
          relay.changed(
              new StoredObject(key, version, List.of(), JsonNodeFactory.instance.objectNode()));
          return relay;
        });
  }

  private static List<String> versions(PeerMessage.ObjectsAnswer answer) {
    return answer.objects().stream().map(PeerMessage.ObjectState::resourceVersion).toList();
  }

  /** Guards against earlier contents that are kept until a process has no memory (review/7). */
  @Test
  void changesOfOneObjectAreRelayedAsItsLatestContentOnly() {
    list("1", true);
    final String version = request("").version();
    ObjectKey other = new ObjectKey(ObjectKind.RUNNER, "i-2");
    change(KEY, "2");
    change(other, "3");
    for (int number = 4; number < 2_000; number++) {
      change(KEY, Integer.toString(number));
    }
    assertEquals(List.of("3", "1999"), versions(request(version)));
    assertFalse(request(version).whole());
  }

  @Test
  void objectThatIsDeletedAfterChangesIsRelayedAsDeleted() {
    list("1", true);
    final String version = request("").version();
    change(KEY, "2");
    onEventLoop(
        () -> {
          relay.deleted(KEY);
          return relay;
        });
    PeerMessage.ObjectsAnswer answer = request(version);
    assertEquals(List.of("2"), versions(answer));
    assertTrue(answer.objects().get(0).content().isEmpty());
    change(KEY, "3");
    assertEquals(List.of("3"), versions(request(version)));
    assertTrue(request(version).objects().get(0).content().isPresent());
  }

  @Test
  void requesterGetsAllObjectsOnceChangesOfTooManyWereForgotten() {
    list("1", true);
    final String version = request("").version();
    for (int number = 2; number < 600; number++) {
      change(new ObjectKey(ObjectKind.RUNNER, "i-" + number), Integer.toString(number));
    }
    assertTrue(request(version).whole());
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
