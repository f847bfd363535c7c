package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Loads adapters on demand, without a message to other instances. Safe for use by any thread.
 *
 * <p>Loads of the same adapter on the same runner are joined, and this instance has no more loads
 * in flight than its share of the weight store's limit.
 */
public interface AdapterLoader {
  /**
   * Completes once the runner has the adapter loaded beside the version; at once if it has.
   *
   * <p>The future fails with {@link org.agatefield.model.AgatefieldException}; nothing of the
   * request that asks for the adapter was sent then.
   */
  CompletableFuture<Void> ensureLoaded(Upstream runner, VersionId version, String adapter);
}
