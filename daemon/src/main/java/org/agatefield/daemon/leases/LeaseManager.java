package org.agatefield.daemon.leases;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.lease.LeaseDecision;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.lease.LeaseProtocol;
import org.agatefield.lease.LeaseRecord;
import org.agatefield.lease.LeaseState;
import org.agatefield.lease.LeaseTerms;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Acquires a lease, renews it until closed, and releases it then.
 *
 * <p>Invariant: at most one call of the store runs at once. State is guarded by the object's lock,
 * which is not held during calls. Safe for use by any thread.
 */
public final class LeaseManager implements LeaseView, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(LeaseManager.class);
  private static final long CLOCK_DRIFT_PER_MILLION = 10_000;
  private static final long RELEASE_LIMIT_SECONDS = 1;
  private static final int RENEWALS_PER_DURATION = 4;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final ObjectStore store;
  private final ObjectKey key;
  private final String holder;
  private final LeaseProtocol protocol;
  private final BooleanSupplier contends;
  private LeaseState state = LeaseState.unknown();
  private Optional<StoredObject> lastSeen = Optional.empty();
  private long timer = -1;
  private boolean holding;
  private int trustEpoch;
  private boolean closed;

  /**
   * Starts to acquire a lease.
   *
   * @param leaseName the object's name
   * @param holder unique to the process
   * @param duration how long a grant lasts after a write
   */
  public LeaseManager(
      Vertx vertx, ObjectStore store, String leaseName, String holder, Duration duration) {
    this(vertx, store, leaseName, holder, duration, other -> false, () -> true);
  }

  /**
   * Starts to acquire a lease, knowing of some holders that they have ended.
   *
   * @param leaseName the object's name
   * @param holder unique to the process
   * @param duration how long a grant lasts after a write
   * @param dead true only for holders that are proved to have ended
   * @param contends whether this process is to acquire the lease if it is free
   */
  public LeaseManager(
      Vertx vertx,
      ObjectStore store,
      String leaseName,
      String holder,
      Duration duration,
      Predicate<String> dead,
      BooleanSupplier contends) {
    this.vertx = vertx;
    this.store = new ResolvingObjectStore(store);
    this.key = new ObjectKey(ObjectKind.LEASE, leaseName);
    this.holder = holder;
    this.contends = contends;
    long nanoseconds = duration.toNanos();
    this.protocol =
        new LeaseProtocol(
            holder,
            new LeaseTerms(
                nanoseconds, nanoseconds / RENEWALS_PER_DURATION, CLOCK_DRIFT_PER_MILLION),
            dead);
    read();
  }

  @Override
  public synchronized Optional<LeaseGrant> currentGrant() {
    return closed ? Optional.empty() : state.grantAt(System.nanoTime());
  }

  /** Reads the lease soon, for a caller that has reason to think that its holder gave it up. */
  public synchronized void refresh() {
    if (!closed && state.grantAt(System.nanoTime()).isEmpty()) {
      vertx.cancelTimer(timer);
      later(0);
    }
  }

  /**
   * Drops the grant until the store has confirmed the lease again, for a caller that has reason to
   * think that this process stood still. The answer to a write that is under way grants nothing.
   */
  public synchronized void invalidateGrant() {
    if (closed) {
      return;
    }
    trustEpoch++;
    state = new LeaseState(state.observed(), Optional.empty());
    noteHolding(System.nanoTime());
  }

  /** Stops acting as the holder, then gives the lease up in the store, if it can be reached. */
  @Override
  public void close() {
    Optional<LeaseDecision.Update> release;
    Optional<StoredObject> previous;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      vertx.cancelTimer(timer);
      release = protocol.release(state);
      previous = lastSeen;
    }
    if (release.isPresent() && previous.isPresent()) {
      awaitBriefly(store.update(previous.get(), newIdentifier(), encode(release.get().lease())));
    }
  }

  /** Waits for the release, so that the store's client is not closed before it is sent. */
  private static void awaitBriefly(CompletableFuture<StoredObject> release) {
    if (Context.isOnEventLoopThread()) {
      return;
    }
    try {
      release.get(RELEASE_LIMIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException exception) {
      LOGGER.debug("lease not released, it lapses", exception);
    }
  }

  private synchronized void read() {
    if (closed) {
      return;
    }
    if (!contends.getAsBoolean()) {
      schedule(patienceNanoseconds() / RENEWALS_PER_DURATION, this::read);
      return;
    }
    store.get(key).whenComplete(this::readCompleted);
  }

  private void readCompleted(StoredObject found, Throwable failure) {
    Optional<StoreFailure> known = StoreException.failureOf(failure);
    if (failure != null && !known.equals(Optional.of(StoreFailure.NOT_FOUND))) {
      later(protocol.renewIntervalNanoseconds());
      return;
    }
    synchronized (this) {
      if (failure == null) {
        lastSeen = Optional.of(found);
        state = protocol.observe(state, found.resourceVersion(), decode(found), System.nanoTime());
      } else {
        lastSeen = Optional.empty();
        state = protocol.observeAbsent(state);
      }
    }
    act();
  }

  private void act() {
    LeaseDecision decision;
    Optional<StoredObject> previous;
    int epoch;
    long now = System.nanoTime();
    synchronized (this) {
      if (closed) {
        return;
      }
      decision = protocol.decide(state, now);
      previous = lastSeen;
      epoch = trustEpoch;
      noteHolding(now);
    }
    if (decision instanceof LeaseDecision.Wait wait) {
      later(Math.min(wait.nanoseconds(), patienceNanoseconds()));
      return;
    }
    write(decision, previous, now, epoch);
  }

  private void write(
      LeaseDecision decision, Optional<StoredObject> previous, long sentAt, int epoch) {
    if (decision instanceof LeaseDecision.Update update) {
      store
          .update(previous.orElseThrow(), newIdentifier(), encode(update.lease()))
          .whenComplete(
              (object, failure) -> written(update.lease(), object, failure, sentAt, epoch));
    } else if (decision instanceof LeaseDecision.Create create) {
      store
          .create(key, newIdentifier(), encode(create.lease()))
          .whenComplete(
              (object, failure) -> written(create.lease(), object, failure, sentAt, epoch));
    }
  }

  private void written(
      LeaseRecord lease, StoredObject object, Throwable failure, long sentAt, int epoch) {
    if (failure != null) {
      LOGGER.debug("lease write failed lease={} cause={}", key.name(), failure.getMessage());
      later(protocol.renewIntervalNanoseconds() / RENEWALS_PER_DURATION);
      return;
    }
    synchronized (this) {
      long now = System.nanoTime();
      if (epoch != trustEpoch) {
        later(0);
        return;
      }
      lastSeen = Optional.of(object);
      state = protocol.recordWrite(lease, object.resourceVersion(), sentAt, now);
      noteHolding(now);
    }
    schedule(protocol.renewIntervalNanoseconds(), this::act);
  }

  private void noteHolding(long now) {
    Optional<LeaseGrant> grant = state.grantAt(now);
    if (grant.isPresent() != holding) {
      holding = grant.isPresent();
      LOGGER.info(
          "lease={} holder={} held={} fencingToken={}",
          key.name(),
          holder,
          holding,
          state.grant().map(LeaseGrant::fencingToken).orElse(0L));
    }
  }

  private long patienceNanoseconds() {
    return protocol.renewIntervalNanoseconds() * RENEWALS_PER_DURATION;
  }

  /** Reads again after a jittered delay, so that challengers do not write at once. */
  private void later(long nanoseconds) {
    long jitter = ThreadLocalRandom.current().nextLong(protocol.renewIntervalNanoseconds());
    schedule(nanoseconds + jitter / RENEWALS_PER_DURATION, this::read);
  }

  private synchronized void schedule(long nanoseconds, Runnable action) {
    if (!closed) {
      long milliseconds = Math.max(1, nanoseconds / NANOSECONDS_PER_MILLISECOND);
      timer = vertx.setTimer(milliseconds, fired -> action.run());
    }
  }

  private static String newIdentifier() {
    return UUID.randomUUID().toString();
  }

  private static JsonNode encode(LeaseRecord lease) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("holder", lease.holder())
        .put("fencingToken", lease.fencingToken())
        .put("durationMilliseconds", lease.durationNanoseconds() / NANOSECONDS_PER_MILLISECOND);
  }

  private static LeaseRecord decode(StoredObject object) {
    JsonNode content = object.content();
    return new LeaseRecord(
        content.path("holder").asText(),
        content.path("fencingToken").asLong(),
        content.path("durationMilliseconds").asLong() * NANOSECONDS_PER_MILLISECOND);
  }
}
