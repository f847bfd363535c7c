package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.agatefield.idempotency.ClaimEvent;
import org.agatefield.store.Backoff;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Removes claims of this process whose call was not sent and never will be, including claims whose
 * create takes effect late.
 *
 * <p>Invariant: an attempt is passed to this class only after the process has irrevocably decided
 * not to send its call. Thread-safe.
 */
final class ClaimRemover implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ClaimRemover.class);
  private static final Duration INITIAL_DELAY = Duration.ofMillis(100);
  private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(10);
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final ClaimStore claims;
  private final Duration lateEffectWindow;
  private final Map<String, Removal> removals = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * A claim to remove. Removal is retried sequentially, so the backoff needs no synchronization.
   */
  private record Removal(
      String name, String attemptId, boolean mayAppearLate, long startedAt, Backoff backoff) {}

  ClaimRemover(Vertx vertx, ClaimStore claims, Duration lateEffectWindow) {
    this.vertx = vertx;
    this.claims = claims;
    this.lateEffectWindow = lateEffectWindow;
  }

  /**
   * Removes a claim, at once or when it appears in the store.
   *
   * @param mayAppearLate whether the result of its create is unknown
   */
  void remove(String name, String attemptId, boolean mayAppearLate) {
    Removal removal =
        new Removal(
            name,
            attemptId,
            mayAppearLate,
            System.nanoTime(),
            new Backoff(INITIAL_DELAY, MAXIMUM_DELAY));
    if (removals.putIfAbsent(attemptId, removal) == null) {
      tryRemove(removal);
    }
  }

  /**
   * Returns whether the claim is being removed: this process has not sent the attempt's call and
   * never will.
   */
  boolean isAbandoned(String attemptId) {
    return removals.containsKey(attemptId);
  }

  /** Returns the number of claims whose removal is not confirmed. */
  int size() {
    return removals.size();
  }

  /** Removes an abandoned claim, if it has not changed since it was read. */
  <A> CompletableFuture<ClaimEvent<A>> removeFound(StoredObject object) {
    return claims
        .delete(object)
        .handle(
            (done, failure) ->
                failure == null || isSuperseded(failure)
                    ? new ClaimEvent.Removed<>()
                    : new ClaimEvent.RemoveFailed<>());
  }

  @Override
  public void close() {
    closed = true;
  }

  private void tryRemove(Removal removal) {
    if (closed) {
      return;
    }
    claims
        .readObject(removal.name())
        .whenComplete((found, failure) -> found(removal, found, failure));
  }

  private void found(Removal removal, Optional<StoredObject> found, Throwable failure) {
    if (failure != null) {
      retry(removal);
      return;
    }
    boolean present =
        found
            .map(object -> ClaimCodec.attemptOf(object.content()))
            .filter(removal.attemptId()::equals)
            .isPresent();
    if (!present) {
      finishOrRetry(removal);
      return;
    }
    claims.delete(found.get()).whenComplete((done, error) -> deleted(removal, found.get(), error));
  }

  private void deleted(Removal removal, StoredObject object, Throwable failure) {
    boolean historyLost = StoreVersion.parse(object.resourceVersion()).era() < claims.era();
    if (failure != null && (historyLost || !isSuperseded(failure))) {
      retry(removal);
      return;
    }
    LOGGER.info("claim removed claim={} attempt={} run=no", removal.name(), removal.attemptId());
    removals.remove(removal.attemptId());
  }

  private void finishOrRetry(Removal removal) {
    long elapsedMilliseconds =
        (System.nanoTime() - removal.startedAt()) / NANOSECONDS_PER_MILLISECOND;
    if (!removal.mayAppearLate() || elapsedMilliseconds > lateEffectWindow.toMillis()) {
      removals.remove(removal.attemptId());
      return;
    }
    retry(removal);
  }

  private void retry(Removal removal) {
    if (!closed) {
      vertx.setTimer(removal.backoff().nextMilliseconds(), fired -> tryRemove(removal));
    }
  }

  private static boolean isSuperseded(Throwable failure) {
    Optional<StoreFailure> known = StoreException.failureOf(failure);
    return known.equals(Optional.of(StoreFailure.NOT_FOUND))
        || known.equals(Optional.of(StoreFailure.CONFLICT));
  }
}
