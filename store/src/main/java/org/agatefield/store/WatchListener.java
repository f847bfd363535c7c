package org.agatefield.store;

/** Receives the changes of a watch, one at a time in the store's order. */
public interface WatchListener {
  /** An object was created or replaced. */
  void changed(StoredObject object);

  /** An object was deleted. */
  void deleted(ObjectKey key, String resourceVersion);

  /** Every change up to that version has been reported. */
  default void reached(String resourceVersion) {}

  /** The watch has ended and reports no more; {@code failure} says why. */
  void ended(StoreException failure);
}
