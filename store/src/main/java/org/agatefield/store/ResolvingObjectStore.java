package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Finds out what became of writes whose answer was lost, by reading back.
 *
 * <p>After {@link StoreFailure#UNKNOWN_RESULT} the object is read. What that proves:
 *
 * <ul>
 *   <li>the write identifier is in the object: the write took effect; its object is returned;
 *   <li>an update, and the object has another version without the identifier: the update had no
 *       effect and never will, since its condition cannot hold again ({@link
 *       StoreFailure#CONFLICT}); wrong only if more than 16 writes followed within the call;
 *   <li>a delete, and the object is gone or has another version: done or overtaken;
 *   <li>a create, and an object without the identifier is there: {@link
 *       StoreFailure#ALREADY_EXISTS}. This is weaker than the interface says: the create cannot
 *       take effect as long as that object exists, but may do so once it is deleted;
 *   <li>anything else (no object after a create or update, the expected version still there, the
 *       read failed): unknown, and the write may still take effect later. The failure stays {@link
 *       StoreFailure#UNKNOWN_RESULT}.
 * </ul>
 *
 * <p>Single objects must not be read from a lagging copy: one that lags makes the second point
 * wrong. Safe for use by any thread.
 */
public final class ResolvingObjectStore implements ObjectStore {
  private final ObjectStore store;

  /** Wraps a store. */
  public ResolvingObjectStore(ObjectStore store) {
    this.store = store;
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return store.get(key);
  }

  @Override
  public CompletableFuture<StoredObject> create(
      ObjectKey key, String writeIdentifier, JsonNode content) {
    return resolve(
        store.create(key, writeIdentifier, content),
        failure -> readBackCreate(key, writeIdentifier, failure));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content) {
    return resolve(
        store.update(previous, writeIdentifier, content),
        failure -> readBackUpdate(previous, writeIdentifier, failure));
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    return resolve(store.delete(previous), failure -> readBackDelete(previous, failure));
  }

  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    return store.list(kind);
  }

  @Override
  public CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken) {
    return store.listPage(kind, limit, continueToken);
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    return store.watch(kind, fromVersion, listener);
  }

  private static <T> CompletableFuture<T> resolve(
      CompletableFuture<T> write, Function<Throwable, CompletableFuture<T>> readBack) {
    return write.exceptionallyCompose(
        failure -> {
          Optional<StoreFailure> known = StoreException.failureOf(failure);
          if (known.filter(StoreFailure.UNKNOWN_RESULT::equals).isPresent()) {
            return readBack.apply(failure);
          }
          return CompletableFuture.failedFuture(failure);
        });
  }

  private CompletableFuture<StoredObject> readBackCreate(
      ObjectKey key, String writeIdentifier, Throwable unknown) {
    return readBack(key, unknown)
        .thenApply(found -> found.orElseThrow(() -> stillUnknown(key, "absent", unknown)))
        .thenApply(found -> requireOwn(found, writeIdentifier, StoreFailure.ALREADY_EXISTS));
  }

  private CompletableFuture<StoredObject> readBackUpdate(
      StoredObject previous, String writeIdentifier, Throwable unknown) {
    return readBack(previous.key(), unknown)
        .thenApply(
            found -> {
              StoredObject current =
                  found.orElseThrow(() -> stillUnknown(previous.key(), "absent", unknown));
              if (current.resourceVersion().equals(previous.resourceVersion())) {
                throw stillUnknown(previous.key(), "unchanged", unknown);
              }
              return requireOwn(current, writeIdentifier, StoreFailure.CONFLICT);
            });
  }

  private CompletableFuture<Void> readBackDelete(StoredObject previous, Throwable unknown) {
    return readBack(previous.key(), unknown)
        .thenAccept(
            found -> {
              boolean unchanged =
                  found
                      .filter(now -> now.resourceVersion().equals(previous.resourceVersion()))
                      .isPresent();
              if (unchanged) {
                throw stillUnknown(previous.key(), "unchanged", unknown);
              }
            });
  }

  /** Reads an object; empty if there is none. */
  private CompletableFuture<Optional<StoredObject>> readBack(ObjectKey key, Throwable unknown) {
    return store
        .get(key)
        .handle(
            (found, failure) -> {
              if (failure == null) {
                return Optional.of(found);
              }
              if (StoreException.failureOf(failure)
                  .filter(StoreFailure.NOT_FOUND::equals)
                  .isPresent()) {
                return Optional.empty();
              }
              throw stillUnknown(key, "unreadable", unknown);
            });
  }

  private static StoredObject requireOwn(
      StoredObject found, String writeIdentifier, StoreFailure otherwise) {
    if (found.writeIdentifiers().contains(writeIdentifier)) {
      return found;
    }
    throw new StoreException(otherwise, found.key() + ": read back without the write");
  }

  private static StoreException stillUnknown(ObjectKey key, String found, Throwable cause) {
    return new StoreException(
        StoreFailure.UNKNOWN_RESULT, key + ": result unknown, read back as " + found, cause);
  }
}
