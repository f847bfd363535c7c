package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Refuses calls at once while the store does not answer, but for one probe after each pause.
 *
 * <p>After some failures in a row the breaker opens: calls fail with {@link
 * StoreFailure#UNAVAILABLE} without being made, which proves that they have no effect. After a
 * jittered pause one call is let through; its success closes the breaker. Lists and watches pass,
 * since their callers wait between tries by themselves. Safe for use by any thread; state is
 * guarded by the object's lock, which is not held during calls.
 */
public final class CircuitBreakingStore implements ObjectStore {
  private static final int FAILURES_TO_OPEN = 8;

  private final ObjectStore store;
  private final long pauseNanoseconds;
  private int failuresInRow;
  private long nextProbeNanoseconds;

  /**
   * Wraps a store.
   *
   * @param pause the longest time between two probes while the store does not answer
   */
  public CircuitBreakingStore(ObjectStore store, Duration pause) {
    this.store = store;
    this.pauseNanoseconds = Math.max(2, pause.toNanos());
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return guarded(() -> store.get(key));
  }

  @Override
  public CompletableFuture<StoredObject> create(
      ObjectKey key, String writeIdentifier, JsonNode content) {
    return guarded(() -> store.create(key, writeIdentifier, content));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      StoredObject previous, String writeIdentifier, JsonNode content) {
    return guarded(() -> store.update(previous, writeIdentifier, content));
  }

  @Override
  public CompletableFuture<Void> delete(StoredObject previous) {
    return guarded(() -> store.delete(previous));
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

  private <T> CompletableFuture<T> guarded(Supplier<CompletableFuture<T>> call) {
    if (!admits()) {
      return CompletableFuture.failedFuture(
          new StoreException(
              StoreFailure.UNAVAILABLE, "the store has not answered lately; no call was made"));
    }
    return call.get().whenComplete((result, failure) -> record(failure));
  }

  private synchronized boolean admits() {
    if (failuresInRow < FAILURES_TO_OPEN) {
      return true;
    }
    long now = System.nanoTime();
    if (now - nextProbeNanoseconds < 0) {
      return false;
    }
    pause(now);
    return true;
  }

  private synchronized void record(Throwable failure) {
    boolean answered =
        StoreException.failureOf(failure).map(known -> !isSilence(known)).orElse(failure == null);
    if (answered) {
      failuresInRow = 0;
      return;
    }
    failuresInRow++;
    if (failuresInRow == FAILURES_TO_OPEN) {
      pause(System.nanoTime());
    }
  }

  private void pause(long now) {
    long pause = ThreadLocalRandom.current().nextLong(pauseNanoseconds / 2, pauseNanoseconds + 1);
    nextProbeNanoseconds = now + pause;
  }

  private static boolean isSilence(StoreFailure failure) {
    return failure == StoreFailure.UNAVAILABLE || failure == StoreFailure.UNKNOWN_RESULT;
  }
}
