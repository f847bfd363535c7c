package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import java.util.List;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ObjectRelayTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.RUNNER, "i-1");

  private final Vertx vertx = Vertx.vertx();
  private final ObjectRelay relay = new ObjectRelay(vertx, "process", () -> 0);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private PeerMessage.ObjectsAnswer request(String fromVersion) {
    PeerMessage.ObjectsRequest request =
        new PeerMessage.ObjectsRequest(ObjectKind.RUNNER.plural(), fromVersion, 1);
    return (PeerMessage.ObjectsAnswer) relay.answer(request).join();
  }

  @Test
  void objectsThatTheStoreHasLostAreNotRelayedAsDeleted() {
    relay.listed("1/5");
    relay.changed(new StoredObject(KEY, "1/5", List.of(), JsonNodeFactory.instance.objectNode()));
    relay.confirmed();
    String version = request("").version();
    assertFalse(request(version).whole());
    relay.listed("2/3");
    relay.lost(KEY);
    relay.confirmed();
    PeerMessage.ObjectsAnswer answer = request(version);
    assertTrue(answer.whole());
    assertTrue(answer.objects().isEmpty());
  }
}
