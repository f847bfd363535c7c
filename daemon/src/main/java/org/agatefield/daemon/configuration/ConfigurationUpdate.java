package org.agatefield.daemon.configuration;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.agatefield.configuration.ChangeRules;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;

/**
 * Submits one document to the store for acceptance.
 *
 * <p>Invariant: the document is accepted at most once, and only as the successor of the generation
 * that it names. All tries use the same write identifier, so that reading the object back shows
 * whether a try whose response was lost took effect. The generation given is above all that the
 * store lost before its present era. Not reusable.
 */
final class ConfigurationUpdate {
  static final ObjectKey CURRENT = new ObjectKey(ObjectKind.CONFIGURATION, "current");
  private static final int MAXIMUM_TRIES = 8;

  private final ObjectStore store;
  private final ConfigurationHistory history;
  private final ConfigurationDocument document;
  private final Executor retries;
  private final String writeIdentifier = UUID.randomUUID().toString();
  private volatile boolean mayHaveTakenEffect;
  private volatile long lastWritten;

  /**
   * Creates an update.
   *
   * @param retries executes the next try after a delay
   */
  ConfigurationUpdate(
      ObjectStore store,
      ConfigurationHistory history,
      ConfigurationDocument document,
      Executor retries) {
    this.store = store;
    this.history = history;
    this.document = document;
    this.retries = retries;
  }

  /** Returns the accepted document; fails with an {@link AgatefieldException}. */
  CompletableFuture<ConfigurationDocument> run() {
    return attempt(1);
  }

  private CompletableFuture<ConfigurationDocument> attempt(int number) {
    return readCurrent()
        .thenCompose(this::decide)
        .exceptionallyCompose(failure -> afterFailure(number, failure));
  }

  private CompletableFuture<Optional<StoredObject>> readCurrent() {
    return store
        .get(CURRENT)
        .thenApply(Optional::of)
        .exceptionallyCompose(
            failure ->
                isFailure(failure, StoreFailure.NOT_FOUND)
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<ConfigurationDocument> decide(Optional<StoredObject> found) {
    if (found.filter(each -> each.writeIdentifiers().contains(writeIdentifier)).isPresent()) {
      return afterOwnWrite(found.get());
    }
    ConfigurationDocument base =
        found.map(ConfigurationCodec::decode).orElse(ConfigurationDocument.empty());
    if (base.generation() < document.generation() && mayHaveTakenEffect) {
      return CompletableFuture.failedFuture(
          new StoreException(StoreFailure.UNKNOWN_RESULT, "the store returned a stale document"));
    }
    if (base.generation() != document.generation()) {
      return CompletableFuture.failedFuture(
          new ConfigurationConflictException(ConfigurationDifference.between(base, document)));
    }
    List<ConfigurationFault> faults = ChangeRules.check(base, document);
    if (!faults.isEmpty()) {
      return CompletableFuture.failedFuture(new ConfigurationRefusedException(faults));
    }
    return history.add(base).thenCompose(added -> write(found, base.generation()));
  }

  /** Raises the generation of a write that met a later era than the one that it was meant for. */
  private CompletableFuture<ConfigurationDocument> afterOwnWrite(StoredObject found) {
    ConfigurationDocument stored = ConfigurationCodec.decode(found);
    if (!stored.equals(document.withGeneration(stored.generation()))) {
      return CompletableFuture.completedFuture(document.withGeneration(lastWritten));
    }
    return EraGenerations.precedes(stored.generation(), eraOf(found))
        ? write(Optional.of(found), stored.generation())
        : CompletableFuture.completedFuture(stored);
  }

  private CompletableFuture<ConfigurationDocument> write(
      Optional<StoredObject> found, long replacedGeneration) {
    long era = store.era();
    ConfigurationDocument accepted =
        document.withGeneration(EraGenerations.successor(replacedGeneration, era));
    lastWritten = accepted.generation();
    var content = ConfigurationCodec.encode(accepted);
    CompletableFuture<StoredObject> written =
        found
            .map(previous -> store.update(previous, writeIdentifier, content))
            .orElseGet(() -> store.create(CURRENT, writeIdentifier, content));
    return written
        .thenAccept(object -> requireEra(era, object))
        .whenComplete((done, failure) -> recordUnknownResult(failure))
        .thenApply(done -> accepted);
  }

  private static void requireEra(long era, StoredObject written) {
    if (eraOf(written) > era) {
      throw new StoreException(
          StoreFailure.HISTORY_LOST, written.key() + ": the store came back older meanwhile");
    }
  }

  private static long eraOf(StoredObject object) {
    return StoreVersion.parse(object.resourceVersion()).era();
  }

  private void recordUnknownResult(Throwable failure) {
    if (failure == null) {
      return;
    }
    if (isFailure(failure, StoreFailure.UNKNOWN_RESULT)
        || isFailure(failure, StoreFailure.HISTORY_LOST)) {
      mayHaveTakenEffect = true;
    }
  }

  private CompletableFuture<ConfigurationDocument> afterFailure(int number, Throwable failure) {
    Optional<StoreFailure> storeFailure = StoreException.failureOf(failure);
    if (storeFailure.isEmpty()) {
      return CompletableFuture.failedFuture(AgatefieldException.from(failure));
    }
    if (storeFailure.get() == StoreFailure.TOO_LARGE) {
      return CompletableFuture.failedFuture(tooLarge());
    }
    boolean cannotHaveTakenEffect =
        storeFailure.get() == StoreFailure.UNAVAILABLE && !mayHaveTakenEffect;
    if (cannotHaveTakenEffect || number >= MAXIMUM_TRIES) {
      return CompletableFuture.failedFuture(storeUnavailable(failure));
    }
    return CompletableFuture.completedFuture(number + 1).thenComposeAsync(this::attempt, retries);
  }

  private ConfigurationRefusedException tooLarge() {
    return new ConfigurationRefusedException(
        List.of(
            new ConfigurationFault(
                "$", "a document too large", "the store's limit is one megabyte")));
  }

  private AgatefieldException storeUnavailable(Throwable failure) {
    RunState state = mayHaveTakenEffect ? RunState.UNKNOWN : RunState.NO;
    String message =
        mayHaveTakenEffect
            ? "the store's response was lost: the document may still be accepted; read it back"
            : "the store is unreachable; the document was not accepted";
    return new AgatefieldException(ErrorKind.STORE_UNAVAILABLE, state, message, null, failure);
  }

  private static boolean isFailure(Throwable failure, StoreFailure kind) {
    return StoreException.failureOf(failure).filter(kind::equals).isPresent();
  }
}
