package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Circuit breaker that fails calls immediately while the store does not respond.
 *
 * <p>The breaker opens after several consecutive failures: calls then fail with {@link
 * StoreFailure#UNAVAILABLE} without being made, so they certainly have no effect. After each
 * jittered pause one probe call is admitted; its success closes the breaker. Lists and watches
 * bypass the breaker, since their callers back off between attempts. Safe for use by any thread;
 * state is guarded by the object's lock, which is not held during calls.
 */
public final class CircuitBreakingStore implements ObjectStore {
  private static final int FAILURES_TO_OPEN = 8;

  private final ObjectStore store;
  private final long pauseNanoseconds;
  private int consecutiveFailures;
  private long nextProbeNanoseconds;

  /**
   * Wraps a store.
   *
   * @param pause the maximum time between two probes while the breaker is open
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

  private <T> CompletableFuture<T> guarded(Supplier<CompletableFuture<T>> call) {
    if (!admits()) {
      return CompletableFuture.failedFuture(
          new StoreException(
              StoreFailure.UNAVAILABLE, "store circuit breaker is open; no call was made"));
    }
    return call.get().whenComplete((result, failure) -> record(failure));
  }

  private synchronized boolean admits() {
    if (consecutiveFailures < FAILURES_TO_OPEN) {
      return true;
    }
    long now = System.nanoTime();
    if (now - nextProbeNanoseconds < 0) {
      return false;
    }
    postponeProbe(now);
    return true;
  }

  private synchronized void record(Throwable failure) {
    boolean answered =
        StoreException.failureOf(failure)
            .map(known -> !isNoResponse(known))
            .orElse(failure == null);
    if (answered) {
      consecutiveFailures = 0;
      return;
    }
    consecutiveFailures++;
    if (consecutiveFailures == FAILURES_TO_OPEN) {
      postponeProbe(System.nanoTime());
    }
  }

  private void postponeProbe(long now) {
    long pause = ThreadLocalRandom.current().nextLong(pauseNanoseconds / 2, pauseNanoseconds + 1);
    nextProbeNanoseconds = now + pause;
  }

  private static boolean isNoResponse(StoreFailure failure) {
    return failure == StoreFailure.UNAVAILABLE || failure == StoreFailure.UNKNOWN_RESULT;
  }
}
