package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Resolves the outcome of writes whose response was lost by reading the object back.
 *
 * <p>After {@link StoreFailure#UNKNOWN_RESULT} the object is read, and the outcome is derived:
 *
 * <ul>
 *   <li>The object contains the write identifier: the write took effect, and the object is
 *       returned.
 *   <li>After an update, the object has another version without the identifier: the update had no
 *       effect and never will, since its condition cannot hold again ({@link
 *       StoreFailure#CONFLICT}). This is wrong only if more than 16 writes followed within the
 *       call, or if the store comes back older while the update is still on its way.
 *   <li>After a delete, the object is absent or has another version: the delete took effect, or
 *       another write preceded it. It completes normally.
 *   <li>After a create, an object without the identifier exists: {@link
 *       StoreFailure#ALREADY_EXISTS}. This is weaker than the contract of {@link ObjectStore}: the
 *       create cannot take effect while that object exists, but may do so once it is deleted.
 *   <li>The object replaced or deleted was read in an earlier era of the store than the one of the
 *       read back: {@link StoreFailure#HISTORY_LOST}, also if the object is absent.
 *   <li>Otherwise (no object after a create or update, unchanged version, failed read) the result
 *       stays unknown, and the write may still take effect later. The failure remains {@link
 *       StoreFailure#UNKNOWN_RESULT}.
 * </ul>
 *
 * <p>Single objects must not be read from a lagging replica, which would make the second rule
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
  public long era() {
    return store.era();
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
          Optional<StoreFailure> storeFailure = StoreException.failureOf(failure);
          if (storeFailure.filter(StoreFailure.UNKNOWN_RESULT::equals).isPresent()) {
            return readBack.apply(failure);
          }
          return CompletableFuture.failedFuture(failure);
        });
  }

  private CompletableFuture<StoredObject> readBackCreate(
      ObjectKey key, String writeIdentifier, Throwable cause) {
    return readBack(key, cause)
        .thenApply(found -> found.orElseThrow(() -> stillUnknown(key, "absent", cause)))
        .thenApply(found -> requireWrite(found, writeIdentifier, StoreFailure.ALREADY_EXISTS));
  }

  private CompletableFuture<StoredObject> readBackUpdate(
      StoredObject previous, String writeIdentifier, Throwable cause) {
    return readBack(previous.key(), cause)
        .thenApply(
            found -> {
              StoredObject current =
                  found.orElseThrow(() -> stillUnknown(previous.key(), "absent", cause));
              requireEra(previous, eraOf(current));
              if (current.resourceVersion().equals(previous.resourceVersion())) {
                throw stillUnknown(previous.key(), "unchanged", cause);
              }
              return requireWrite(current, writeIdentifier, StoreFailure.CONFLICT);
            });
  }

  private CompletableFuture<Void> readBackDelete(StoredObject previous, Throwable cause) {
    return readBack(previous.key(), cause)
        .thenAccept(
            found -> {
              requireEra(previous, found.map(ResolvingObjectStore::eraOf).orElseGet(store::era));
              boolean unchanged =
                  found
                      .filter(now -> now.resourceVersion().equals(previous.resourceVersion()))
                      .isPresent();
              if (unchanged) {
                throw stillUnknown(previous.key(), "unchanged", cause);
              }
            });
  }

  private static void requireEra(StoredObject previous, long era) {
    if (eraOf(previous) != era) {
      throw new StoreException(
          StoreFailure.HISTORY_LOST,
          previous.key() + ": the store came back older; the write may have met another content");
    }
  }

  private static long eraOf(StoredObject object) {
    return StoreVersion.parse(object.resourceVersion()).era();
  }

  /** Reads an object; empty if it does not exist. */
  private CompletableFuture<Optional<StoredObject>> readBack(ObjectKey key, Throwable cause) {
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
              throw stillUnknown(key, "unreadable", cause);
            });
  }

  private static StoredObject requireWrite(
      StoredObject found, String writeIdentifier, StoreFailure otherwise) {
    if (found.writeIdentifiers().contains(writeIdentifier)) {
      return found;
    }
    throw new StoreException(
        otherwise, found.key() + ": object read back does not contain the write");
  }

  private static StoreException stillUnknown(ObjectKey key, String found, Throwable cause) {
    return new StoreException(
        StoreFailure.UNKNOWN_RESULT,
        key + ": write result unknown; object read back is " + found,
        cause);
  }
}
