package org.agatefield.store;

import java.util.Map;

/** Receives what an {@link ObjectInformer} learns, one call at a time. */
public interface InformerListener {
  /** An object was created or replaced since the last call about it. */
  default void changed(StoredObject object) {}

  /** An object was deleted. */
  default void deleted(ObjectKey key) {}

  /**
   * The objects known by name, after one list or one change of a watch.
   *
   * <p>A list may lag: an object may be older than one reported before.
   */
  default void updated(Map<String, StoredObject> objects) {}

  /** The objects known are those that the source has now. */
  default void confirmed() {}

  /** The store stopped answering, or answers again; told only when this changes. */
  default void availabilityChanged(boolean available) {}
}
