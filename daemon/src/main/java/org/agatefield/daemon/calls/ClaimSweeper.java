package org.agatefield.daemon.calls;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.idempotency.RetentionPolicy;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectPage;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Deletes claims whose retention has expired, while this instance holds the sweep lease.
 *
 * <p>The lease only saves calls of the store; correctness does not depend on it, since deletes are
 * conditional on the version and any instance may delete an expired claim. Claims are read in small
 * pages with pauses in between to respect the store's rate limits and the daemon's memory. One
 * sweep runs at a time. Thread-safe.
 */
public final class ClaimSweeper implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ClaimSweeper.class);
  private static final int PAGE_CLAIMS = 8;
  private static final long PAGE_PAUSE_MILLISECONDS = 100;

  private final Vertx vertx;
  private final ObjectStore store;
  private final LeaseView lease;
  private final RetentionPolicy retention;
  private final Duration interval;
  private final Counter swept;
  private volatile boolean closed;

  /**
   * Creates a sweeper and schedules the first sweep.
   *
   * @param interval the maximum pause between two sweeps; pauses are jittered down to half of it
   */
  public ClaimSweeper(
      Vertx vertx,
      ObjectStore store,
      LeaseView lease,
      CallLimits limits,
      Duration interval,
      MetricRegistry metrics) {
    this.vertx = vertx;
    this.store = store;
    this.lease = lease;
    this.retention = limits.retentionPolicy();
    this.interval = interval;
    this.swept = metrics.counter("agatefield.calls.claimsSwept");
    scheduleNextSweep();
  }

  @Override
  public void close() {
    closed = true;
  }

  private void scheduleNextSweep() {
    long maximum = Math.max(2, interval.toMillis());
    long delay = ThreadLocalRandom.current().nextLong(maximum / 2, maximum + 1);
    schedule(delay, () -> readPage(Optional.empty()));
  }

  private void readPage(Optional<String> continueToken) {
    if (lease.currentGrant().isEmpty()) {
      scheduleNextSweep();
      return;
    }
    store.listPage(ObjectKind.CLAIM, PAGE_CLAIMS, continueToken).whenComplete(this::pageRead);
  }

  private void pageRead(ObjectPage page, Throwable failure) {
    if (failure != null) {
      LOGGER.debug("claim sweep aborted cause={}", failure.getMessage());
      scheduleNextSweep();
      return;
    }
    long now = System.currentTimeMillis();
    List<StoredObject> expired =
        page.objects().objects().stream().filter(object -> maySweep(object, now)).toList();
    deleteAll(expired).whenComplete((done, error) -> continueSweep(page));
  }

  private boolean maySweep(StoredObject object, long now) {
    long keepUntil = object.content().path(ClaimCodec.KEEP_UNTIL).asLong(Long.MAX_VALUE);
    return retention.maySweep(keepUntil, now);
  }

  private CompletableFuture<Void> deleteAll(List<StoredObject> objects) {
    return CompletableFuture.allOf(
        objects.stream().map(this::delete).toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<Void> delete(StoredObject object) {
    return store.delete(object).thenRun(swept::inc);
  }

  private void continueSweep(ObjectPage page) {
    if (page.continueToken().isEmpty()) {
      scheduleNextSweep();
      return;
    }
    schedule(PAGE_PAUSE_MILLISECONDS, () -> readPage(page.continueToken()));
  }

  private void schedule(long milliseconds, Runnable action) {
    if (!closed) {
      vertx.setTimer(Math.max(1, milliseconds), fired -> action.run());
    }
  }
}
