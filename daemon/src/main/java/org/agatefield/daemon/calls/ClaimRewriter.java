package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.store.Backoff;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes claims that this instance knows into a store that came back from an older copy, one after
 * the other with pauses.
 *
 * <p>Invariant: a claim in the store is replaced only to add an answer to one that has none. Lost
 * writes are harmless, as a claim that the store has forgotten is never taken for unused.
 * Thread-safe; the queue is guarded by the object's lock.
 */
final class ClaimRewriter implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ClaimRewriter.class);
  private static final long PAUSE_MILLISECONDS = 10;
  private static final Duration INITIAL_DELAY = Duration.ofMillis(100);
  private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(5);

  private final Vertx vertx;
  private final ClaimStore claims;
  private final Queue<Item> queue = new ArrayDeque<>();
  private Backoff backoff = new Backoff(INITIAL_DELAY, MAXIMUM_DELAY);
  private boolean running;
  private volatile boolean closed;

  /** A claim to write; empty if it need not be written any more when its turn comes. */
  private record Item(String name, Supplier<Optional<Claim<ServiceResponse>>> claim) {}

  ClaimRewriter(Vertx vertx, ClaimStore claims) {
    this.vertx = vertx;
    this.claims = claims;
  }

  /** Adds a claim to write. */
  void add(String name, Supplier<Optional<Claim<ServiceResponse>>> claim) {
    synchronized (this) {
      queue.add(new Item(name, claim));
      if (running) {
        return;
      }
      running = true;
    }
    writeNext();
  }

  @Override
  public void close() {
    closed = true;
  }

  private void writeNext() {
    Item item;
    synchronized (this) {
      item = queue.peek();
      running = item != null && !closed;
      if (!running) {
        return;
      }
    }
    item.claim()
        .get()
        .map(claim -> write(item.name(), claim))
        .orElseGet(() -> CompletableFuture.completedFuture(null))
        .whenComplete((done, failure) -> written(item, failure));
  }

  private void written(Item item, Throwable failure) {
    long delay = PAUSE_MILLISECONDS;
    synchronized (this) {
      if (failure == null) {
        queue.remove();
        backoff = new Backoff(INITIAL_DELAY, MAXIMUM_DELAY);
      } else {
        delay = backoff.nextMilliseconds();
        LOGGER.debug("claim not written again yet claim={}", item.name(), failure);
      }
    }
    vertx.setTimer(delay, fired -> writeNext());
  }

  private CompletableFuture<Void> write(String name, Claim<ServiceResponse> claim) {
    return claims
        .createAgain(name, claim, claim.attemptId())
        .<Void>thenApply(created -> null)
        .exceptionallyCompose(
            failure ->
                StoreException.failureOf(failure).equals(Optional.of(StoreFailure.ALREADY_EXISTS))
                    ? addAnswer(name, claim)
                    : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<Void> addAnswer(String name, Claim<ServiceResponse> claim) {
    if (claim.outcome().isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return claims
        .read(name)
        .thenCompose(
            found ->
                found
                    .filter(each -> each.claim().bodyHash().equals(claim.bodyHash()))
                    .filter(each -> each.claim().outcome().flatMap(Claim.Outcome::answer).isEmpty())
                    .map(each -> claims.record(each, claim.outcome().get(), claim.attemptId()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)))
        .thenApply(recorded -> null);
  }
}
