package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Loads adapters on demand, without coordination with other instances. Thread-safe.
 *
 * <p>Concurrent loads of the same adapter on the same runner are joined. The number of loads in
 * flight is limited to this instance's share of the weight store's limit.
 */
public interface AdapterLoader {
  /**
   * Returns a future that completes once the runner has loaded the adapter for the version.
   *
   * <p>The future fails with {@link org.agatefield.model.AgatefieldException}; no byte of the
   * request that needs the adapter has been sent then.
   */
  CompletableFuture<Void> ensureLoaded(Upstream runner, VersionId version, String adapter);
}
