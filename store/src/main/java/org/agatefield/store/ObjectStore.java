package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object API, with versions, conditional updates and watches.
 *
 * <p>Every future may fail with a {@link StoreException}. Invariant: a write that completes with a
 * {@link StoreFailure} other than {@link StoreFailure#UNKNOWN_RESULT} and {@link
 * StoreFailure#HISTORY_LOST} has had no effect and never will. Implementations are safe for use by
 * any thread; futures may complete on any thread.
 */
public interface ObjectStore extends ObjectSource {
  /** Reads an object; fails with {@link StoreFailure#NOT_FOUND} if it does not exist. */
  CompletableFuture<StoredObject> get(ObjectKey key);

  /**
   * Creates an object if no object of that name exists.
   *
   * @param writeIdentifier unique to this write, stored in the object
   */
  CompletableFuture<StoredObject> create(ObjectKey key, String writeIdentifier, JsonNode content);

  /**
   * Replaces an object's content if its version is still that of {@code previous}.
   *
   * @param writeIdentifier unique to this write, stored in the object before the earlier ones
   */
  CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content);

  /**
   * Returns the era that the store named in its latest response; {@link StoreVersion#NO_ERA} if it
   * names none.
   */
  default long era() {
    return StoreVersion.NO_ERA;
  }

  /** Deletes an object if its version is still that of {@code previous}. */
  CompletableFuture<Void> delete(StoredObject previous);

  /**
   * Reads one page of the objects of a kind, for lists that are too large to be read at once.
   *
   * @param limit the maximum number of objects to return
   * @param continueToken the token of the previous page; empty for the first page
   */
  CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken);
}
