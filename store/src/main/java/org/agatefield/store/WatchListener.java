package org.agatefield.store;

/** Receives the events of a watch, one call at a time, in the store's order. */
public interface WatchListener {
  /** Called when an object was created or replaced. */
  void changed(StoredObject object);

  /** Called when an object was deleted. */
  void deleted(ObjectKey key, String resourceVersion);

  /** Called when all changes up to a version have been reported. */
  default void reached(String resourceVersion) {}

  /** Called when the watch has failed; no further calls follow. */
  void ended(StoreException failure);
}
