package org.agatefield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

class ResolvingObjectStoreTest {
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.LEASE, "planner");

  private final ScriptedStore store = new ScriptedStore().then(StoreFailure.UNKNOWN_RESULT);
  private final ResolvingObjectStore resolving = new ResolvingObjectStore(store);

  private static StoredObject object(String version, String... writes) {
    return new StoredObject(KEY, version, List.of(writes), JsonNodeFactory.instance.objectNode());
  }

  private CompletableFuture<StoredObject> create() {
    return resolving.create(KEY, "mine", JsonNodeFactory.instance.objectNode());
  }

  private CompletableFuture<StoredObject> update() {
    return resolving.update(object("1"), "mine", JsonNodeFactory.instance.objectNode());
  }

  private static Optional<StoreFailure> failureOf(CompletableFuture<?> future)
      throws InterruptedException {
    try {
      future.get();
      return Optional.empty();
    } catch (ExecutionException exception) {
      return StoreException.failureOf(exception.getCause());
    }
  }

  @Test
  void createSucceedsIfObjectContainsItsIdentifier() throws Exception {
    store.then(object("7", "later", "mine"));
    assertEquals(object("7", "later", "mine"), create().get());
  }

  @Test
  void createFailsAsExistingIfObjectLacksItsIdentifier() throws Exception {
    store.then(object("7", "other"));
    assertEquals(Optional.of(StoreFailure.ALREADY_EXISTS), failureOf(create()));
  }

  @Test
  void createStaysUnknownIfObjectIsAbsent() throws Exception {
    store.then(StoreFailure.NOT_FOUND);
    assertEquals(Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(create()));
  }

  @Test
  void createStaysUnknownIfReadFails() throws Exception {
    store.then(StoreFailure.UNAVAILABLE);
    assertEquals(Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(create()));
  }

  @Test
  void updateSucceedsIfObjectContainsItsIdentifier() throws Exception {
    store.then(object("2", "mine"));
    assertEquals(object("2", "mine"), update().get());
  }

  @Test
  void updateConflictsIfAnotherWritePrecededIt() throws Exception {
    store.then(object("2", "other"));
    assertEquals(Optional.of(StoreFailure.CONFLICT), failureOf(update()));
  }

  @Test
  void updateStaysUnknownIfObjectIsUnchanged() throws Exception {
    store.then(object("1"));
    assertEquals(Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(update()));
  }

  @Test
  void updateStaysUnknownIfObjectIsAbsent() throws Exception {
    store.then(StoreFailure.NOT_FOUND);
    assertEquals(Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(update()));
  }

  @Test
  void deleteSucceedsIfObjectIsAbsent() throws Exception {
    store.then(StoreFailure.NOT_FOUND);
    assertEquals(Optional.empty(), failureOf(resolving.delete(object("1"))));
  }

  @Test
  void deleteStaysUnknownIfObjectIsUnchanged() throws Exception {
    store.then(object("1"));
    assertEquals(
        Optional.of(StoreFailure.UNKNOWN_RESULT), failureOf(resolving.delete(object("1"))));
  }

  @Test
  void updateOfContentOfEarlierEraHasLostItsHistoryAlthoughItsIdentifierIsReadBack()
      throws Exception {
    store.era = 2;
    store.then(object("2/6", "mine"));
    CompletableFuture<StoredObject> update =
        resolving.update(object("1/5"), "mine", JsonNodeFactory.instance.objectNode());
    assertEquals(Optional.of(StoreFailure.HISTORY_LOST), failureOf(update));
  }

  @Test
  void deleteOfContentOfEarlierEraHasLostItsHistoryIfAnotherIsReadBack() throws Exception {
    store.era = 2;
    store.then(object("2/5", "other"));
    assertEquals(
        Optional.of(StoreFailure.HISTORY_LOST), failureOf(resolving.delete(object("1/5"))));
  }

  @Test
  void deleteOfContentOfEarlierEraHasLostItsHistoryIfTheObjectIsAbsent() throws Exception {
    store.era = 2;
    store.then(StoreFailure.NOT_FOUND);
    assertEquals(
        Optional.of(StoreFailure.HISTORY_LOST), failureOf(resolving.delete(object("1/5"))));
  }

  @Test
  void deleteSucceedsIfObjectIsAbsentInTheSameEra() throws Exception {
    store.era = 2;
    store.then(StoreFailure.NOT_FOUND);
    assertEquals(Optional.empty(), failureOf(resolving.delete(object("2/5"))));
  }
}
