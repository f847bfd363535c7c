package org.agatefield.daemon.placing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.agatefield.placement.RunnerLedger;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Caches the ledgers as last read or written by the planner, each with its version in the store.
 *
 * <p>Invariant: a ledger is replaced only by a conditional update of the version on which the
 * decision was based. Thread-safe; state is guarded by the object's lock.
 */
final class LedgerTable {
  private static final Logger LOGGER = LogManager.getLogger(LedgerTable.class);

  private final ObjectStore store;
  private final Map<String, StoredLedger> ledgers = new HashMap<>();
  private final Set<String> uncertain = new HashSet<>();

  LedgerTable(ObjectStore store) {
    this.store = store;
  }

  synchronized Optional<RunnerLedger> get(String upstream) {
    return Optional.ofNullable(ledgers.get(upstream)).map(StoredLedger::ledger);
  }

  /**
   * Returns whether the ledger is known and no write of it is in flight or has failed since it was
   * read.
   */
  synchronized boolean isCertain(String upstream) {
    return ledgers.containsKey(upstream) && !uncertain.contains(upstream);
  }

  synchronized void clear() {
    ledgers.clear();
    uncertain.clear();
  }

  /** Reads all ledgers again. */
  CompletableFuture<Void> readAll() {
    return store
        .list(ObjectKind.LEDGER)
        .thenAccept(
            list -> {
              synchronized (this) {
                clear();
                list.objects().forEach(this::putIfReadable);
              }
            });
  }

  /** Reads one ledger again; removes it from the table if it does not exist. */
  CompletableFuture<Void> read(String upstream) {
    return store
        .get(key(upstream))
        .handle(
            (object, failure) -> {
              if (failure == null) {
                put(object);
                return null;
              }
              if (StoreException.failureOf(failure)
                  .filter(StoreFailure.NOT_FOUND::equals)
                  .isPresent()) {
                discard(upstream);
                return null;
              }
              throw new IllegalStateException(
                  "ledger of " + upstream + " could not be read", failure);
            });
  }

  /**
   * Writes a ledger to the store, replacing the version that the table holds.
   *
   * <p>The future fails if the ledger was changed by another process or if it is unknown whether
   * the write took effect. The ledger is uncertain then until it is read again.
   */
  CompletableFuture<Void> write(RunnerLedger ledger) {
    String identifier = UUID.randomUUID().toString();
    Optional<StoredObject> previous = beginWrite(ledger.upstream());
    return previous
        .map(found -> store.update(found, identifier, LedgerCodec.encode(ledger)))
        .orElseGet(
            () -> store.create(key(ledger.upstream()), identifier, LedgerCodec.encode(ledger)))
        .thenAccept(this::put);
  }

  private synchronized Optional<StoredObject> beginWrite(String upstream) {
    uncertain.add(upstream);
    return Optional.ofNullable(ledgers.get(upstream)).map(StoredLedger::object);
  }

  private synchronized void put(StoredObject object) {
    ledgers.put(object.key().name(), StoredLedger.of(object));
    uncertain.remove(object.key().name());
  }

  /** Leaves out an unreadable ledger, which may be of a runner that is not configured. */
  private synchronized void putIfReadable(StoredObject object) {
    try {
      put(object);
    } catch (IllegalStateException exception) {
      LOGGER.warn("skipping unreadable ledger upstream={}", object.key().name(), exception);
    }
  }

  private synchronized void discard(String upstream) {
    ledgers.remove(upstream);
    uncertain.remove(upstream);
  }

  private static ObjectKey key(String upstream) {
    return new ObjectKey(ObjectKind.LEDGER, upstream);
  }
}
