package org.agatefield.store;

import java.util.concurrent.CompletableFuture;

/**
 * Lists and watches objects on behalf of an {@link ObjectInformer}.
 *
 * <p>Futures may fail with a {@link StoreException}. Implementations are safe for use by any
 * thread; futures may complete on any thread.
 */
public interface ObjectSource {
  /** Reads all objects of a kind. */
  CompletableFuture<ObjectList> list(ObjectKind kind);

  /**
   * Reports every change of a kind after a version until the watch is closed or fails.
   *
   * @param fromVersion a version from {@link ObjectList#resourceVersion()}
   * @return closes the watch; further calls of {@code close} have no effect
   */
  AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener);
}
