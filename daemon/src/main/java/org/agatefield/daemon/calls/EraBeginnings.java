package org.agatefield.daemon.calls;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.agatefield.idempotency.RetentionPolicy;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides whether the store can have forgotten a claim of a key, by the time at which the store's
 * era began.
 *
 * <p>Whoever needs the beginning of an era first writes the present time into an object of the era.
 * Invariant: that time is not before the era began, so that a key is taken for older than the era
 * rather than for younger. A store that names no era, or its first one, has forgotten nothing. Any
 * later era counts as one with a history, as an installation that is new cannot be told from one
 * that was forgotten. Thread-safe.
 */
final class EraBeginnings {
  private static final Logger LOGGER = LogManager.getLogger(EraBeginnings.class);
  private static final long FIRST_ERA = 1;
  private static final String NAME_PREFIX = "era-";
  private static final String BEGAN = "beganAtMilliseconds";

  private final ObjectStore store;
  private final RetentionPolicy retention;
  private final Map<Long, Long> known = new ConcurrentHashMap<>();

  EraBeginnings(ObjectStore store, RetentionPolicy retention) {
    this.store = new ResolvingObjectStore(store);
    this.retention = retention;
  }

  /** Returns whether no claim of the key can have been forgotten before the store's present era. */
  CompletableFuture<Boolean> isConclusive(String key) {
    return isConclusiveIn(store.era(), key);
  }

  /** Returns whether no claim of the key can have been forgotten before an object's era. */
  CompletableFuture<Boolean> isConclusive(String key, StoredObject object) {
    return isConclusiveIn(StoreVersion.parse(object.resourceVersion()).era(), key);
  }

  /** Writes down that an era has begun, so that fewer keys are taken for older. */
  void begin(long era) {
    beginningOf(era)
        .whenComplete(
            (began, failure) -> {
              if (failure != null) {
                LOGGER.info(
                    "beginning of era={} not written yet cause={}", era, failure.toString());
              }
            });
  }

  private CompletableFuture<Boolean> isConclusiveIn(long era, String key) {
    if (era <= FIRST_ERA) {
      return CompletableFuture.completedFuture(true);
    }
    return beginningOf(era)
        .thenApply(began -> !retention.mayPrecede(key, began, System.currentTimeMillis()));
  }

  private CompletableFuture<Long> beginningOf(long era) {
    Long began = known.get(era);
    if (began != null) {
      return CompletableFuture.completedFuture(began);
    }
    return store
        .get(key(era))
        .exceptionallyCompose(
            failure ->
                isFailure(failure, StoreFailure.NOT_FOUND)
                    ? create(era)
                    : CompletableFuture.failedFuture(failure))
        .thenApply(object -> remember(era, object));
  }

  private CompletableFuture<StoredObject> create(long era) {
    long now = System.currentTimeMillis();
    return store
        .create(
            key(era),
            UUID.randomUUID().toString(),
            JsonNodeFactory.instance.objectNode().put(BEGAN, now))
        .exceptionallyCompose(
            failure ->
                isFailure(failure, StoreFailure.ALREADY_EXISTS)
                    ? store.get(key(era))
                    : CompletableFuture.failedFuture(failure));
  }

  private long remember(long era, StoredObject object) {
    if (!object.content().path(BEGAN).isIntegralNumber()) {
      throw new IllegalStateException(object.key() + " does not contain the time of its era");
    }
    long began = object.content().path(BEGAN).asLong();
    if (known.putIfAbsent(era, began) == null) {
      LOGGER.info("dependency=store era={} began={}", era, began);
    }
    return began;
  }

  private static boolean isFailure(Throwable failure, StoreFailure kind) {
    return StoreException.failureOf(failure).equals(Optional.of(kind));
  }

  /** Returns a name that is not one of {@link org.agatefield.idempotency.ClaimNames}. */
  private static ObjectKey key(long era) {
    return new ObjectKey(ObjectKind.CLAIM, NAME_PREFIX + era);
  }
}
