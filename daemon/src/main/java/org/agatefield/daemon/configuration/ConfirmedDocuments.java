package org.agatefield.daemon.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Remembers the latest accepted documents and writes the last one again if the store came back from
 * an older copy without it.
 *
 * <p>Invariant: it replaces only a document that is known to precede the last one, unchanged, so
 * that one accepted meanwhile is never overwritten. Thread-safe; state is guarded by the object's
 * lock.
 */
final class ConfirmedDocuments {
  private static final Logger LOGGER = LogManager.getLogger(ConfirmedDocuments.class);
  private static final int REMEMBERED_DOCUMENTS = 32;
  private static final int MAXIMUM_TRIES = 240;

  private final ObjectStore store;
  private final ConfigurationHistory history;
  private final Executor retries;
  private final TreeMap<Long, ConfigurationDocument> documents = new TreeMap<>();

  /**
   * Creates an empty memory.
   *
   * @param retries executes the next try after a delay
   */
  ConfirmedDocuments(ObjectStore store, ConfigurationHistory history, Executor retries) {
    this.store = store;
    this.history = history;
    this.retries = retries;
  }

  /** Remembers an accepted document. */
  synchronized void remember(ConfigurationDocument document) {
    documents.put(document.generation(), document);
    if (documents.size() > REMEMBERED_DOCUMENTS) {
      documents.pollFirstEntry();
    }
  }

  /** Writes the last document again if the store holds one that precedes it, or none. */
  void writeAgain() {
    attempt(1);
  }

  private void attempt(int number) {
    readCurrent()
        .thenCompose(this::writeUnlessNewer)
        .whenComplete((done, failure) -> ended(number, failure));
  }

  private void ended(int number, Throwable failure) {
    if (failure == null) {
      return;
    }
    LOGGER.debug("configuration not written again yet", failure);
    if (number == MAXIMUM_TRIES) {
      LOGGER.error("configuration could not be written again", failure);
      return;
    }
    retries.execute(() -> attempt(number + 1));
  }

  private CompletableFuture<Optional<StoredObject>> readCurrent() {
    return store
        .get(ConfigurationUpdate.CURRENT)
        .thenApply(Optional::of)
        .exceptionallyCompose(
            failure ->
                StoreException.failureOf(failure).equals(Optional.of(StoreFailure.NOT_FOUND))
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<Void> writeUnlessNewer(Optional<StoredObject> found) {
    ConfigurationDocument base =
        found.map(ConfigurationCodec::decode).orElse(ConfigurationDocument.empty());
    Optional<ConfigurationDocument> successor = successorOf(base);
    if (successor.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return history
        .add(base)
        .thenCompose(added -> write(found, successor.get()))
        .thenAccept(
            written ->
                LOGGER.info(
                    "configuration written again generation={} replaced={}",
                    successor.get().generation(),
                    base.generation()));
  }

  /** Returns the last document if a document in the store is known to precede it. */
  private synchronized Optional<ConfigurationDocument> successorOf(ConfigurationDocument base) {
    Optional<ConfigurationDocument> last =
        Optional.ofNullable(documents.lastEntry())
            .map(Map.Entry::getValue)
            .filter(document -> document.generation() > base.generation());
    if (last.isPresent() && !base.equals(documents.get(base.generation()))) {
      LOGGER.error(
          "the store holds generation={}, unknown here, after it had accepted generation={}",
          base.generation(),
          last.get().generation());
      return Optional.empty();
    }
    return last;
  }

  private CompletableFuture<StoredObject> write(
      Optional<StoredObject> found, ConfigurationDocument document) {
    String identifier = UUID.randomUUID().toString();
    var content = ConfigurationCodec.encode(document);
    return found
        .map(previous -> store.update(previous, identifier, content))
        .orElseGet(() -> store.create(ConfigurationUpdate.CURRENT, identifier, content));
  }
}
