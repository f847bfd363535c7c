package org.agatefield.daemon.placing;

import org.agatefield.placement.RunnerLedger;
import org.agatefield.store.StoredObject;

/**
 * A ledger with the stored object that it was decoded from. Immutable.
 *
 * @param object the stored object
 * @param ledger the decoded content
 */
record StoredLedger(StoredObject object, RunnerLedger ledger) {
  static StoredLedger of(StoredObject object) {
    return new StoredLedger(object, LedgerCodec.decode(object));
  }

  boolean isOf(StoredObject other) {
    return object.resourceVersion().equals(other.resourceVersion());
  }
}
