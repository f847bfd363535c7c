package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Fake store that returns prepared results in order. Not thread-safe. */
final class ScriptedStore implements ObjectStore {
  final Deque<Object> answers = new ArrayDeque<>();
  int calls;
  long era = StoreVersion.NO_ERA;

  ScriptedStore then(Object answer) {
    answers.add(answer);
    return this;
  }

  @SuppressWarnings("unchecked")
  private <T> CompletableFuture<T> next() {
    calls++;
    Object answer = answers.remove();
    if (answer instanceof StoreFailure failure) {
      return CompletableFuture.failedFuture(new StoreException(failure, "scripted"));
    }
    return CompletableFuture.completedFuture((T) answer);
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return next();
  }

  @Override
  public CompletableFuture<StoredObject> create(
      ObjectKey key, String writeIdentifier, JsonNode content) {
    return next();
  }

  @Override
  public CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content) {
    return next();
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    return next();
  }

  @Override
  public long era() {
    return era;
  }

  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    return next();
  }

  @Override
  public CompletableFuture<ObjectPage> listPage(
      ObjectKind kind, int limit, Optional<String> continueToken) {
    return next();
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    return () -> {};
  }
}
