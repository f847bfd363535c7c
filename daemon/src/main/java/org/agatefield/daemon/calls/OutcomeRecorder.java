package org.agatefield.daemon.calls;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.store.Backoff;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes one outcome into its claim and retries until the store has an outcome.
 *
 * <p>Invariant: a response in the store is never replaced. A claim that the store has forgotten is
 * written again with the outcome. Tries run sequentially, so the fields need no synchronization.
 */
final class OutcomeRecorder {
  private static final Logger LOGGER = LogManager.getLogger(OutcomeRecorder.class);
  private static final Duration INITIAL_DELAY = Duration.ofMillis(50);
  private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(5);

  private final Vertx vertx;
  private final ClaimStore claims;
  private final InvariantMonitor monitor;
  private final Runnable recorded;
  private final Backoff backoff = new Backoff(INITIAL_DELAY, MAXIMUM_DELAY);
  private final String writeIdentifier = UUID.randomUUID().toString();
  private StoredClaim claim;
  private Claim.Outcome<ServiceResponse> outcome;

  OutcomeRecorder(Vertx vertx, ClaimStore claims, InvariantMonitor monitor, Runnable recorded) {
    this.vertx = vertx;
    this.claims = claims;
    this.monitor = monitor;
    this.recorded = recorded;
  }

  /** Starts writing; {@code recorded} is run once the store has an outcome. */
  void start(StoredClaim own, Claim.Outcome<ServiceResponse> known) {
    claim = own;
    outcome = known;
    write();
  }

  private void write() {
    claims.record(claim, outcome, writeIdentifier).whenComplete(this::written);
  }

  private void written(Object object, Throwable failure) {
    if (failure == null) {
      recorded.run();
      return;
    }
    Optional<StoreFailure> known = StoreException.failureOf(failure);
    if (known.equals(Optional.of(StoreFailure.TOO_LARGE))) {
      LOGGER.error(
          "response exceeds the store's size limit claim={}", claim.object().key(), failure);
      outcome = new Claim.Outcome<>(Optional.empty());
    }
    LOGGER.debug("outcome not recorded, will be retried claim={}", claim.object().key(), failure);
    vertx.setTimer(backoff.nextMilliseconds(), fired -> readAgain());
  }

  private void readAgain() {
    claims.read(claim.object().key().name()).whenComplete(this::readCompleted);
  }

  private void readCompleted(Optional<StoredClaim> found, Throwable failure) {
    if (failure != null) {
      vertx.setTimer(backoff.nextMilliseconds(), fired -> readAgain());
      return;
    }
    String attempt = claim.claim().attemptId();
    boolean own = found.filter(now -> now.claim().attemptId().equals(attempt)).isPresent();
    if (!own && isHistoryLost()) {
      writeAgain(found);
      return;
    }
    monitor.check(
        InvariantMonitor.Invariant.AT_MOST_ONCE,
        own,
        () -> "claim " + claim.object().key() + " disappeared although its call was sent");
    if (!own || hasAnswer(found.get()) || outcome.answer().isEmpty() && hasOutcome(found.get())) {
      recorded.run();
      return;
    }
    claim = found.get();
    write();
  }

  private boolean isHistoryLost() {
    return StoreVersion.parse(claim.object().resourceVersion()).era() < claims.era();
  }

  /**
   * Writes the forgotten claim again. A claim that took its place is that of an attempt that does
   * not send the call, as the key is older than the store's era.
   */
  private void writeAgain(Optional<StoredClaim> found) {
    boolean answered = found.filter(OutcomeRecorder::hasAnswer).isPresent();
    boolean lost =
        outcome.answer().isEmpty() && found.filter(OutcomeRecorder::hasOutcome).isPresent();
    if (answered || lost) {
      recorded.run();
      return;
    }
    LOGGER.info("writing a forgotten claim again claim={}", claim.object().key());
    found
        .map(
            other ->
                claims.record(
                    new StoredClaim(other.object(), claim.claim()), outcome, writeIdentifier))
        .orElseGet(
            () ->
                claims.createAgain(
                    claim.object().key().name(),
                    claim.claim().withOutcome(outcome),
                    writeIdentifier))
        .whenComplete(this::written);
  }

  private static boolean hasOutcome(StoredClaim found) {
    return found.claim().outcome().isPresent();
  }

  private static boolean hasAnswer(StoredClaim found) {
    return found.claim().outcome().flatMap(Claim.Outcome::answer).isPresent();
  }
}
