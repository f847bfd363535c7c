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
 * Deletes claims whose retention is over, while this instance holds the lease for it.
 *
 * <p>The lease only saves calls: deletes are conditional on the version, and a claim whose time is
 * over may be deleted by anyone. Claims are read in small pages with pauses, so that the store's
 * rates and the daemon's memory are kept. One sweep runs at a time; safe for use by any thread.
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
   * Starts to sweep.
   *
   * @param interval the time between the end of a sweep and the next
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
    pauseUntilNextSweep();
  }

  @Override
  public void close() {
    closed = true;
  }

  private void pauseUntilNextSweep() {
    long longest = Math.max(2, interval.toMillis());
    long delay = ThreadLocalRandom.current().nextLong(longest / 2, longest + 1);
    schedule(delay, () -> readPage(Optional.empty()));
  }

  private void readPage(Optional<String> continueToken) {
    if (lease.currentGrant().isEmpty()) {
      pauseUntilNextSweep();
      return;
    }
    store.listPage(ObjectKind.CLAIM, PAGE_CLAIMS, continueToken).whenComplete(this::pageRead);
  }

  private void pageRead(ObjectPage page, Throwable failure) {
    if (failure != null) {
      LOGGER.debug("sweep ended early cause={}", failure.getMessage());
      pauseUntilNextSweep();
      return;
    }
    long now = System.currentTimeMillis();
    List<StoredObject> over =
        page.objects().objects().stream().filter(object -> maySweep(object, now)).toList();
    deleteAll(over).whenComplete((done, error) -> goOn(page));
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

  private void goOn(ObjectPage page) {
    if (page.continueToken().isEmpty()) {
      pauseUntilNextSweep();
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
