package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * <p>Every future may fail with a {@link StoreException}. Invariant: a write that completes with a
 * {@link StoreFailure} other than {@link StoreFailure#UNKNOWN_RESULT} has had no effect and never
 * will. Implementations are safe for use by any thread; futures may complete on any thread.
 */
public interface ObjectStore extends ObjectSource {
  /** Reads an object; fails with {@link StoreFailure#NOT_FOUND} if there is none. */
  CompletableFuture<StoredObject> get(ObjectKey key);

  /**
   * Creates an object if none of that name exists.
   *
   * @param writeIdentifier unique to this write, kept in the object
   */
  CompletableFuture<StoredObject> create(ObjectKey key, String writeIdentifier, JsonNode content);

  /**
   * Replaces an object's content if its version is still that of {@code previous}.
   *
   * @param writeIdentifier unique to this write, kept in the object before the earlier ones
   */
  CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content);

  /** Deletes an object if its version is still that of {@code previous}. */
  CompletableFuture<Void> delete(StoredObject previous);

  /**
   * Reads some objects of a kind, for what is too large to be read at once.
   *
   * @param limit the most objects to return
   * @param continueToken from the page before; empty for the first
   */
  CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken);
}
