package org.agatefield.fleet.platform;

import static org.agatefield.fleet.platform.StoreBench.content;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import org.agatefield.model.Address;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectPage;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.agatefield.store.WatchListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpObjectStoreTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.LEDGER, "engine-1");
  private static final Duration GENEROUS = Duration.ofSeconds(60);

  private final StoreBench bench = new StoreBench();
  private final HttpObjectStore store = bench.newClient();

  @AfterEach
  void close() {
    bench.close();
  }

  private static Optional<StoreFailure> failureOf(CompletableFuture<?> future) {
    return StoreException.failureOf(assertThrows(CompletionException.class, future::join));
  }

  @Test
  void createdObjectIsReadUpdatedAndDeleted() {
    StoredObject created = store.create(KEY, "w1", content(1)).join();
    assertEquals(created, store.get(KEY).join());
    StoredObject updated = store.update(created, "w2", content(2)).join();
    assertEquals(List.of("w2", "w1"), updated.writeIdentifiers());
    assertEquals(content(2), updated.content());
    store.delete(updated).join();
    assertEquals(Optional.of(StoreFailure.NOT_FOUND), failureOf(store.get(KEY)));
  }

  @Test
  void conditionalWritesConflict() {
    StoredObject created = store.create(KEY, "w1", content(1)).join();
    assertEquals(
        Optional.of(StoreFailure.ALREADY_EXISTS), failureOf(store.create(KEY, "x", content(3))));
    store.update(created, "w2", content(2)).join();
    assertEquals(
        Optional.of(StoreFailure.CONFLICT), failureOf(store.update(created, "x", content(3))));
    assertEquals(Optional.of(StoreFailure.CONFLICT), failureOf(store.delete(created)));
  }

  @Test
  void objectListsOnlyItsLastSixteenWriteIdentifiers() {
    StoredObject object = store.create(KEY, "w0", content(0)).join();
    for (int write = 1; write <= 20; write++) {
      object = store.update(object, "w" + write, content(write)).join();
    }
    assertEquals(16, object.writeIdentifiers().size());
    assertEquals("w20", object.writeIdentifiers().get(0));
    assertEquals("w5", object.writeIdentifiers().get(15));
  }

  @Test
  void objectOfMoreThanOneMegabyteIsRefused() {
    JsonNode large = JsonNodeFactory.instance.objectNode().put("value", "x".repeat(1_100_000));
    assertEquals(Optional.of(StoreFailure.TOO_LARGE), failureOf(store.create(KEY, "w1", large)));
  }

  @Test
  void listIsReadInPages() {
    for (int index = 0; index < 7; index++) {
      store.create(new ObjectKey(ObjectKind.CLAIM, "c" + index), "w", content(index)).join();
    }
    List<String> names = new ArrayList<>();
    Optional<String> next = Optional.empty();
    do {
      ObjectPage page = store.listPage(ObjectKind.CLAIM, 3, next).join();
      page.objects().objects().forEach(object -> names.add(object.key().name()));
      next = page.continueToken();
    } while (next.isPresent());
    assertEquals(List.of("c0", "c1", "c2", "c3", "c4", "c5", "c6"), names);
    assertEquals(7, store.list(ObjectKind.CLAIM).join().objects().size());
  }

  @Test
  void watchReportsChangesAfterItsStartVersion() {
    StoredObject created = store.create(KEY, "w1", content(1)).join();
    Recorder recorder = new Recorder();
    store.watch(ObjectKind.LEDGER, created.resourceVersion(), recorder);
    StoredObject updated = store.update(created, "w2", content(2)).join();
    store.delete(updated).join();
    await()
        .atMost(GENEROUS)
        .untilAsserted(
            () ->
                assertEquals(
                    List.of("changed ledgers/engine-1", "deleted ledgers/engine-1"),
                    recorder.seen));
  }

  @Test
  void watchFromDiscardedVersionEndsWithVersionGone() {
    String version = store.list(ObjectKind.LEDGER).join().resourceVersion();
    store.create(KEY, "w1", content(1)).join();
    bench.faults("{\"forgetChanges\":true}");
    Recorder recorder = new Recorder();
    store.watch(ObjectKind.LEDGER, version, recorder);
    await()
        .atMost(GENEROUS)
        .untilAsserted(() -> assertEquals(List.of("ended VERSION_GONE"), recorder.seen));
  }

  @Test
  void writeFailsAsUnavailableWithoutEffectWhenTheStoreIsDown() {
    bench.faults("{\"down\":true}");
    assertEquals(
        Optional.of(StoreFailure.UNAVAILABLE), failureOf(store.create(KEY, "w", content(1))));
    bench.faults("{}");
    assertEquals(Optional.of(StoreFailure.NOT_FOUND), failureOf(store.get(KEY)));
  }

  @Test
  void writeFailsAsUnavailableWhenTheStoreIsUnreachable() {
    Address unusedAddress = new Address("127.0.0.1", 1);
    HttpObjectStore unreachable =
        bench.closer.register(
            new HttpObjectStore(bench.vertx, unusedAddress, Duration.ofSeconds(5)));
    assertEquals(
        Optional.of(StoreFailure.UNAVAILABLE), failureOf(unreachable.create(KEY, "w", content(1))));
  }

  @Test
  void writeFailsAsUnavailableWhenTheClientIsClosed() {
    store.close();
    assertEquals(
        Optional.of(StoreFailure.UNAVAILABLE), failureOf(store.create(KEY, "w", content(1))));
  }

  @Test
  void hangingStoreMakesWritesUnknownAndReadsUnavailable() {
    bench.faults("{\"hang\":true}");
    HttpObjectStore shortTimeoutClient = bench.newClient(Duration.ofSeconds(2));
    assertEquals(
        Optional.of(StoreFailure.UNKNOWN_RESULT),
        failureOf(shortTimeoutClient.create(KEY, "w", content(1))));
    assertEquals(Optional.of(StoreFailure.UNAVAILABLE), failureOf(shortTimeoutClient.get(KEY)));
  }

  @Test
  void writeThatTookEffectIsUnknownWhenItsAnswerIsLost() {
    bench.faults("{\"loseAnswersAfterEffect\":1}");
    assertEquals(
        Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(store.create(KEY, "w", content(1))));
    assertEquals(List.of("w"), store.get(KEY).join().writeIdentifiers());
  }

  @Test
  void writeMayTakeEffectAfterItsTimeout() {
    bench.faults("{\"delayEffectMilliseconds\":4000,\"delayEffectCount\":1}");
    HttpObjectStore shortTimeoutClient = bench.newClient(Duration.ofSeconds(2));
    assertEquals(
        Optional.of(StoreFailure.UNKNOWN_RESULT),
        failureOf(shortTimeoutClient.create(KEY, "w", content(1))));
    await()
        .atMost(GENEROUS)
        .ignoreExceptions()
        .until(() -> store.get(KEY).join().content().equals(content(1)));
  }

  /** Records the events of a watch. */
  private static final class Recorder implements WatchListener {
    final List<String> seen = new CopyOnWriteArrayList<>();

    @Override
    public void changed(StoredObject object) {
      seen.add("changed " + object.key());
    }

    @Override
    public void deleted(ObjectKey key, String resourceVersion) {
      seen.add("deleted " + key);
    }

    @Override
    public void ended(StoreException failure) {
      seen.add("ended " + failure.failure());
    }
  }
}
