package org.agatefield.daemon.leases;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.agatefield.lease.LeaseVersion;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Acquires a lease, renews it until closed, and then releases it.
 *
 * <p>Invariants: at most one call of the store is in flight; each write carries the holder's {@link
 * LeaseHandover}, and that of another holder is received before this process acquires the lease
 * from it. Thread-safe: state is guarded by the object's lock, which is not held during calls.
 */
public final class LeaseManager implements LeaseView, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(LeaseManager.class);
  private static final long CLOCK_DRIFT_PER_MILLION = 10_000;
  private static final long RELEASE_TIMEOUT_SECONDS = 1;
  private static final int RENEWALS_PER_DURATION = 4;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final String HANDOVER = "handover";

  private final Vertx vertx;
  private final ObjectStore store;
  private final ObjectKey key;
  private final String holder;
  private final LeaseProtocol protocol;
  private final BooleanSupplier shouldContend;
  private final LeaseHandover handover;
  private LeaseState state = LeaseState.unknown();
  private Optional<StoredObject> latestObject = Optional.empty();
  // When the last call was sent that returned the lease, or that showed that there is none.
  private OptionalLong seenAt = OptionalLong.empty();
  private long timer = -1;
  private boolean holding;
  private int grantEpoch;
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
    this(vertx, store, leaseName, holder, duration, other -> false, () -> true, LeaseHandover.NONE);
  }

  /**
   * Starts to acquire a lease, which can be taken over at once from a holder that is known to have
   * ended.
   *
   * @param leaseName the object's name
   * @param holder unique to the process
   * @param duration how long a grant lasts after a write
   * @param isDead returns true only for holders proven to have ended
   * @param shouldContend whether this process should acquire the lease if it is free
   * @param handover what the holder passes on to the next one
   */
  public LeaseManager(
      Vertx vertx,
      ObjectStore store,
      String leaseName,
      String holder,
      Duration duration,
      Predicate<String> isDead,
      BooleanSupplier shouldContend,
      LeaseHandover handover) {
    this.vertx = vertx;
    this.store = new ResolvingObjectStore(store);
    this.key = new ObjectKey(ObjectKind.LEASE, leaseName);
    this.holder = holder;
    this.shouldContend = shouldContend;
    this.handover = handover;
    long nanoseconds = duration.toNanos();
    this.protocol =
        new LeaseProtocol(
            holder,
            new LeaseTerms(
                nanoseconds, nanoseconds / RENEWALS_PER_DURATION, CLOCK_DRIFT_PER_MILLION),
            isDead);
    read();
  }

  @Override
  public synchronized Optional<LeaseGrant> currentGrant() {
    return closed ? Optional.empty() : state.grantAt(System.nanoTime());
  }

  /** Reads the lease soon; called when its holder has probably released it. */
  public synchronized void refresh() {
    if (!closed && state.grantAt(System.nanoTime()).isEmpty()) {
      vertx.cancelTimer(timer);
      scheduleRead(0);
    }
  }

  /**
   * Drops the grant until the store has confirmed the lease again; called when this process was
   * probably suspended. The result of a write in flight grants nothing.
   */
  public synchronized void invalidateGrant() {
    if (closed) {
      return;
    }
    grantEpoch++;
    state = new LeaseState(state.observed(), Optional.empty());
    updateHolding(System.nanoTime());
  }

  /** Drops the grant, then releases the lease in the store, if the store is reachable. */
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
      previous = latestObject;
    }
    if (release.isPresent() && previous.isPresent()) {
      awaitRelease(
          store.update(previous.get(), newWriteIdentifier(), encode(release.get().lease())));
    }
  }

  /** Waits for the release, so that the store's client is not closed before the release is sent. */
  private static void awaitRelease(CompletableFuture<StoredObject> release) {
    if (Context.isOnEventLoopThread()) {
      return;
    }
    try {
      release.get(RELEASE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException exception) {
      LOGGER.debug("lease not released, it will expire", exception);
    }
  }

  private synchronized void read() {
    if (closed) {
      return;
    }
    if (!shouldContend.getAsBoolean()) {
      schedule(leaseDurationNanoseconds() / RENEWALS_PER_DURATION, this::read);
      return;
    }
    long sentAt = System.nanoTime();
    store.get(key).whenComplete((found, failure) -> readCompleted(found, failure, sentAt));
  }

  private void readCompleted(StoredObject found, Throwable failure, long sentAt) {
    Optional<StoreFailure> known = StoreException.failureOf(failure);
    if (failure != null && !known.equals(Optional.of(StoreFailure.NOT_FOUND))) {
      scheduleRead(protocol.renewIntervalNanoseconds());
      return;
    }
    synchronized (this) {
      long now = System.nanoTime();
      if (failure == null) {
        receiveHandover(found, now);
        latestObject = Optional.of(found);
        state = protocol.observe(state, versionOf(found), decode(found), now);
      } else {
        latestObject = Optional.empty();
        state = protocol.observeAbsent(state, store.era(), now);
      }
      seenAt = OptionalLong.of(sentAt);
    }
    act();
  }

  private void receiveHandover(StoredObject found, long now) {
    boolean known =
        latestObject
            .filter(latest -> latest.resourceVersion().equals(found.resourceVersion()))
            .isPresent();
    if (known || decode(found).holder().equals(holder)) {
      return;
    }
    long writtenAfter = seenAt.orElse(now - leaseDurationNanoseconds());
    handover.received(found.content().path(HANDOVER), Duration.ofNanos(now - writtenAfter));
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
      previous = latestObject;
      epoch = grantEpoch;
      updateHolding(now);
    }
    if (decision instanceof LeaseDecision.Wait wait) {
      scheduleRead(Math.min(wait.nanoseconds(), leaseDurationNanoseconds()));
      return;
    }
    write(decision, previous, now, epoch);
  }

  private void write(
      LeaseDecision decision, Optional<StoredObject> previous, long sentAt, int epoch) {
    if (decision instanceof LeaseDecision.Update update) {
      store
          .update(previous.orElseThrow(), newWriteIdentifier(), encode(update.lease()))
          .whenComplete(
              (object, failure) -> written(update.lease(), object, failure, sentAt, epoch));
    } else if (decision instanceof LeaseDecision.Create create) {
      store
          .create(key, newWriteIdentifier(), encode(create.lease()))
          .whenComplete(
              (object, failure) -> written(create.lease(), object, failure, sentAt, epoch));
    }
  }

  private void written(
      LeaseRecord lease, StoredObject object, Throwable failure, long sentAt, int epoch) {
    if (failure != null) {
      LOGGER.debug("lease write failed lease={} cause={}", key.name(), failure.getMessage());
      scheduleRead(protocol.renewIntervalNanoseconds() / RENEWALS_PER_DURATION);
      return;
    }
    synchronized (this) {
      final long now = System.nanoTime();
      if (epoch != grantEpoch) {
        scheduleRead(0);
        return;
      }
      latestObject = Optional.of(object);
      seenAt = OptionalLong.of(sentAt);
      state = protocol.recordWrite(state, lease, versionOf(object), sentAt, now);
      updateHolding(now);
    }
    schedule(protocol.renewIntervalNanoseconds(), this::act);
  }

  private void updateHolding(long now) {
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

  private long leaseDurationNanoseconds() {
    return protocol.renewIntervalNanoseconds() * RENEWALS_PER_DURATION;
  }

  /**
   * Reads the lease again after a delay, jittered so that challengers do not write simultaneously.
   */
  private void scheduleRead(long nanoseconds) {
    long jitter = ThreadLocalRandom.current().nextLong(protocol.renewIntervalNanoseconds());
    schedule(nanoseconds + jitter / RENEWALS_PER_DURATION, this::read);
  }

  private synchronized void schedule(long nanoseconds, Runnable action) {
    if (!closed) {
      long milliseconds = Math.max(1, nanoseconds / NANOSECONDS_PER_MILLISECOND);
      timer = vertx.setTimer(milliseconds, fired -> action.run());
    }
  }

  /** Returns the version of a lease; revisions of stores that name an era are numbers. */
  private static LeaseVersion versionOf(StoredObject object) {
    StoreVersion version = StoreVersion.parse(object.resourceVersion());
    boolean numbered = version.era() != StoreVersion.NO_ERA;
    long sequence = numbered ? Long.parseLong(version.revision()) : 0;
    return new LeaseVersion(object.resourceVersion(), version.era(), sequence);
  }

  private static String newWriteIdentifier() {
    return UUID.randomUUID().toString();
  }

  private JsonNode encode(LeaseRecord lease) {
    ObjectNode content =
        JsonNodeFactory.instance
            .objectNode()
            .put("holder", lease.holder())
            .put("fencingToken", lease.fencingToken())
            .put("durationMilliseconds", lease.durationNanoseconds() / NANOSECONDS_PER_MILLISECOND);
    handover.describe().ifPresent(described -> content.set(HANDOVER, described));
    return content;
  }

  private static LeaseRecord decode(StoredObject object) {
    JsonNode content = object.content();
    return new LeaseRecord(
        content.path("holder").asText(),
        content.path("fencingToken").asLong(),
        content.path("durationMilliseconds").asLong() * NANOSECONDS_PER_MILLISECOND);
  }
}
