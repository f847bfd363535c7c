package org.agatefield.daemon.configuration;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Stores the accepted documents that precede the current one, one object each.
 *
 * <p>Invariant: a document is added to the history before it is replaced, so the most recent ones
 * are never missing. Thread-safe.
 */
final class ConfigurationHistory {
  private static final Logger LOGGER = LogManager.getLogger(ConfigurationHistory.class);
  private static final int RETAINED_GENERATIONS = 200;
  private static final String NAME_PREFIX = "generation-";

  private final ObjectStore store;

  ConfigurationHistory(ObjectStore store) {
    this.store = store;
  }

  /** Adds a document; completes once it is in the history, even if another instance added it. */
  CompletableFuture<Void> add(ConfigurationDocument document) {
    if (document.generation() == 0) {
      return CompletableFuture.completedFuture(null);
    }
    return store
        .create(
            key(document.generation()),
            UUID.randomUUID().toString(),
            ConfigurationCodec.encode(document))
        .<Void>thenApply(created -> null)
        .exceptionallyCompose(ConfigurationHistory::acceptExisting);
  }

  private static CompletableFuture<Void> acceptExisting(Throwable failure) {
    boolean exists =
        StoreException.failureOf(failure).filter(StoreFailure.ALREADY_EXISTS::equals).isPresent();
    return exists
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(failure);
  }

  /** Deletes the document that has just exceeded the history's length; failures are only logged. */
  void trim(long acceptedGeneration) {
    long expired = acceptedGeneration - RETAINED_GENERATIONS;
    if (expired < 1) {
      return;
    }
    store
        .get(key(expired))
        .thenCompose(store::delete)
        .exceptionally(
            failure -> {
              LOGGER.debug(
                  "history not trimmed generation={} cause={}", expired, failure.toString());
              return null;
            });
  }

  CompletableFuture<ConfigurationDocument> get(long generation) {
    return store.get(key(generation)).thenApply(ConfigurationCodec::decode);
  }

  CompletableFuture<List<Long>> generations() {
    return store
        .list(ObjectKind.CONFIGURATION_HISTORY)
        .thenApply(
            list ->
                list.objects().stream()
                    .map(each -> each.key().name().substring(NAME_PREFIX.length()))
                    .map(Long::valueOf)
                    .sorted()
                    .toList());
  }

  private static ObjectKey key(long generation) {
    return new ObjectKey(ObjectKind.CONFIGURATION_HISTORY, NAME_PREFIX + generation);
  }
}
