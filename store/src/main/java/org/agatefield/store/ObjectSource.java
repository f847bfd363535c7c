package org.agatefield.store;

import java.util.concurrent.CompletableFuture;

/**
 * Where an {@link ObjectInformer} learns objects from.
 *
 * <p>Futures may fail with a {@link StoreException}. Implementations are safe for use by any
 * thread; futures may complete on any thread.
 */
public interface ObjectSource {
  /** Reads all objects of a kind. */
  CompletableFuture<ObjectList> list(ObjectKind kind);

  /**
   * Reports every change of a kind after a version, until closed or failed.
   *
   * @param fromVersion a version from {@link ObjectList#resourceVersion()}
   * @return closes the watch; closing it twice does nothing
   */
  AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener);
}
