package org.agatefield.store;

import java.util.Map;

/** Receives the changes that an {@link ObjectInformer} observes, one call at a time. */
public interface InformerListener {
  /** Called with the version of each list before the changes that the list reveals. */
  default void listed(String resourceVersion) {}

  /** Called when an object was created or replaced. */
  default void changed(StoredObject object) {}

  /** Called when an object was deleted. */
  default void deleted(ObjectKey key) {}

  /**
   * Called when an object is missing because the store came back from a copy that is older than it;
   * whoever wrote it may write it again.
   */
  default void lost(ObjectKey key) {
    deleted(key);
  }

  /**
   * Called with all known objects by name after each list and each change of a watch.
   *
   * <p>A list may lag: an object may be older than one reported before.
   */
  default void updated(Map<String, StoredObject> objects) {}

  /** Called when the known objects are confirmed to match the source. */
  default void confirmed() {}

  /**
   * Called when a watch has failed, be it for its connection or for the store; the objects may be
   * out of date until they are confirmed.
   */
  default void interrupted() {}

  /** Called when the store becomes unavailable or available again. */
  default void availabilityChanged(boolean available) {}
}
