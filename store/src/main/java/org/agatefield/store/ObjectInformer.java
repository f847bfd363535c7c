package org.agatefield.store;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Caches the objects of a kind: lists them, then watches for changes, and lists them again if the
 * watch cannot be resumed and at each poll interval.
 *
 * <p>Invariants: at most one watch and one list run at a time; after a failure the next call is
 * delayed by a capped, jittered exponential backoff, so that the instances do not all call at once
 * when the store recovers; a change that a watch reports while a list is in progress is not lost,
 * since the watch then restarts from the list's version; a listener that fails on one object still
 * receives the others, and the failure is logged; the store counts as unavailable after a list or
 * two watches in a row have failed, or if it was out of contact for long enough that objects may
 * have expired meanwhile, as one broken connection says nothing of the store. Safe for use by any
 * thread: state is guarded by the object's lock; listeners are called while it is held, one at a
 * time, and must not block.
 */
public final class ObjectInformer implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ObjectInformer.class);
  private static final Duration INITIAL_DELAY = Duration.ofMillis(200);
  private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(10);
  // Less than the three heartbeats of a second after which objects expire in an outage.
  private static final long MAXIMUM_GAP_NANOSECONDS = Duration.ofMillis(2_500).toNanos();

  private final Vertx vertx;
  private final ObjectSource store;
  private final ObjectKind kind;
  private final Duration pollInterval;
  private final List<InformerListener> listeners = new CopyOnWriteArrayList<>();
  private final Backoff backoff;
  private final Map<String, StoredObject> objects = new HashMap<>();
  private final LongSupplier clock;
  private AutoCloseable watch = () -> {};
  private long watchNumber;
  private String version = "";
  private long timer = -1;
  private boolean listing;
  private boolean listed;
  private boolean available = true;
  private boolean watchFailed;
  private long contactAt;
  private boolean closed;

  /**
   * Creates an informer; {@link #start()} starts it.
   *
   * @param pollInterval how often the kind is listed although the watch is quiet
   */
  public ObjectInformer(Vertx vertx, ObjectSource store, ObjectKind kind, Duration pollInterval) {
    this(vertx, store, kind, pollInterval, MAXIMUM_DELAY);
  }

  /**
   * Creates an informer; {@link #start()} starts it.
   *
   * @param pollInterval how often the kind is listed although the watch is quiet
   * @param maximumDelay the maximum backoff while the store does not respond
   */
  public ObjectInformer(
      Vertx vertx,
      ObjectSource store,
      ObjectKind kind,
      Duration pollInterval,
      Duration maximumDelay) {
    this(vertx, store, kind, pollInterval, maximumDelay, System::nanoTime);
  }

  /**
   * Creates an informer with a clock of its own.
   *
   * @param clock returns monotonic nanoseconds
   */
  ObjectInformer(
      Vertx vertx,
      ObjectSource store,
      ObjectKind kind,
      Duration pollInterval,
      Duration maximumDelay,
      LongSupplier clock) {
    this.clock = clock;
    this.backoff = new Backoff(INITIAL_DELAY, maximumDelay);
    this.vertx = vertx;
    this.store = store;
    this.kind = kind;
    this.pollInterval = pollInterval;
  }

  /** Adds a listener and notifies it of the cached objects, if a list has succeeded. */
  public synchronized ObjectInformer listen(InformerListener listener) {
    listeners.add(listener);
    if (listed) {
      objects.values().forEach(object -> informOfChange(listener, object));
      Map<String, StoredObject> copy = Map.copyOf(objects);
      inform(listener, "all objects", each -> each.updated(copy));
    }
    return this;
  }

  /** Starts listing and watching. */
  public synchronized ObjectInformer start() {
    list();
    return this;
  }

  /** Returns the cached objects by name; empty if no list has succeeded yet. */
  public synchronized Optional<Map<String, StoredObject>> known() {
    return listed ? Optional.of(Map.copyOf(objects)) : Optional.empty();
  }

  /** Schedules a list, for callers that expect a change that was not reported yet. */
  public synchronized void refresh() {
    schedule(backoff.nextMilliseconds(), this::list);
  }

  @Override
  public synchronized void close() {
    closed = true;
    vertx.cancelTimer(timer);
    stopWatch();
  }

  private synchronized void list() {
    if (closed || listing) {
      return;
    }
    listing = true;
    store.list(kind).whenComplete(this::listCompleted);
  }

  private synchronized void listCompleted(ObjectList list, Throwable failure) {
    listing = false;
    if (closed) {
      return;
    }
    if (failure != null) {
      LOGGER.debug("list failed kind={} cause={}", kind, failure.getMessage());
      setAvailable(false, failure.getMessage());
      schedule(backoff.nextMilliseconds(), this::list);
      return;
    }
    backoff.reset();
    contacted();
    setAvailable(true, "listed");
    replaceAll(list);
    informAll("confirmation", InformerListener::confirmed);
    scheduleRelist(); // Before the watch, which may end at once and schedule an earlier list.
    startWatch(list.resourceVersion());
  }

  private void replaceAll(ObjectList list) {
    informAll("list", listener -> listener.listed(list.resourceVersion()));
    Map<String, StoredObject> previous = new HashMap<>(objects);
    objects.clear();
    for (StoredObject object : list.objects()) {
      objects.put(object.key().name(), object);
      StoredObject old = previous.remove(object.key().name());
      boolean unchanged = old != null && old.resourceVersion().equals(object.resourceVersion());
      if (!unchanged) {
        listeners.forEach(listener -> informOfChange(listener, object));
      }
    }
    previous.values().forEach(removed -> reportMissing(removed, list));
    listed = true;
    notifyUpdated();
  }

  /**
   * Reports an object that a list does not hold, which says nothing if the list is of another era.
   */
  private void reportMissing(StoredObject removed, ObjectList list) {
    if (list.era() != StoreVersion.parse(removed.resourceVersion()).era()) {
      informAll(removed.key().name(), listener -> listener.lost(removed.key()));
    } else {
      informOfDeletion(removed.key());
    }
  }

  private void startWatch(String fromVersion) {
    stopWatch();
    version = fromVersion;
    watch = store.watch(kind, fromVersion, new NumberedListener(watchNumber));
  }

  private void stopWatch() {
    watchNumber++;
    try {
      watch.close();
    } catch (Exception exception) {
      LOGGER.warn("watch failed to close kind={}", kind, exception);
    }
  }

  private synchronized void watchEnded(long number, StoreException failure) {
    if (closed || number != watchNumber) {
      return;
    }
    LOGGER.debug("watch ended kind={} cause={}", kind, failure.getMessage());
    boolean expired = failure.failure() == StoreFailure.VERSION_GONE;
    if (expired) {
      schedule(backoff.nextMilliseconds(), this::list);
      return;
    }
    informAll("interruption", InformerListener::interrupted);
    if (watchFailed) {
      setAvailable(false, failure.getMessage());
      schedule(backoff.nextMilliseconds(), this::resumeWatch);
      return;
    }
    watchFailed = true;
    resumeWatch();
  }

  private synchronized void resumeWatch() {
    if (closed || listing) {
      return;
    }
    scheduleRelist();
    startWatch(version);
  }

  private void scheduleRelist() {
    long interval = Math.max(2, pollInterval.toMillis());
    long jittered = ThreadLocalRandom.current().nextLong(interval / 2, interval + 1);
    schedule(jittered, this::list);
  }

  private synchronized void schedule(long delayMilliseconds, Runnable action) {
    vertx.cancelTimer(timer);
    if (!closed) {
      timer = vertx.setTimer(Math.max(1, delayMilliseconds), fired -> action.run());
    }
  }

  private synchronized void changed(long number, StoredObject object) {
    if (closed || number != watchNumber) {
      return;
    }
    backoff.reset();
    notePossibleOutage();
    version = object.resourceVersion();
    objects.put(object.key().name(), object);
    listeners.forEach(listener -> informOfChange(listener, object));
    notifyUpdated();
  }

  private synchronized void deleted(long number, ObjectKey key, String resourceVersion) {
    if (closed || number != watchNumber) {
      return;
    }
    notePossibleOutage();
    version = resourceVersion;
    objects.remove(key.name());
    informOfDeletion(key);
    notifyUpdated();
  }

  private synchronized void reached(long number, String resourceVersion) {
    if (number == watchNumber) {
      version = resourceVersion;
      backoff.reset();
      notePossibleOutage();
      contacted();
      setAvailable(true, "watched");
      informAll("confirmation", InformerListener::confirmed);
    }
  }

  private void contacted() {
    watchFailed = false;
    contactAt = clock.getAsLong();
  }

  /** Reports an outage before the changes of a watch that answers after a long silence. */
  private void notePossibleOutage() {
    if (watchFailed && clock.getAsLong() - contactAt >= MAXIMUM_GAP_NANOSECONDS) {
      setAvailable(false, "no contact for " + MAXIMUM_GAP_NANOSECONDS / 1_000_000 + " ms");
    }
  }

  private void setAvailable(boolean answers, String cause) {
    if (available == answers) {
      return;
    }
    available = answers;
    LOGGER.info("dependency=store kind={} available={} cause=\"{}\"", kind, answers, cause);
    informAll("availability", listener -> listener.availabilityChanged(answers));
  }

  private void notifyUpdated() {
    Map<String, StoredObject> copy = Map.copyOf(objects);
    informAll("all objects", listener -> listener.updated(copy));
  }

  private void informOfChange(InformerListener listener, StoredObject object) {
    inform(listener, object.key().name(), each -> each.changed(object));
  }

  private void informOfDeletion(ObjectKey key) {
    informAll(key.name(), listener -> listener.deleted(key));
  }

  private void informAll(String subject, Consumer<InformerListener> notification) {
    listeners.forEach(listener -> inform(listener, subject, notification));
  }

  /** Notifies a listener; its failure must end neither the watch nor the other notifications. */
  private void inform(
      InformerListener listener, String subject, Consumer<InformerListener> notification) {
    try {
      notification.accept(listener);
    } catch (RuntimeException | StackOverflowError failure) {
      LOGGER.error(
          "listener failed kind={} subject=\"{}\" cause=\"{}\"",
          kind,
          subject,
          failure.toString(),
          failure);
    }
  }

  /**
   * Forwards the events of a watch with its number, so that events of earlier watches are ignored.
   */
  private final class NumberedListener implements WatchListener {
    private final long number;

    NumberedListener(long number) {
      this.number = number;
    }

    @Override
    public void changed(StoredObject object) {
      ObjectInformer.this.changed(number, object);
    }

    @Override
    public void deleted(ObjectKey key, String resourceVersion) {
      ObjectInformer.this.deleted(number, key, resourceVersion);
    }

    @Override
    public void reached(String resourceVersion) {
      ObjectInformer.this.reached(number, resourceVersion);
    }

    @Override
    public void ended(StoreException failure) {
      watchEnded(number, failure);
    }
  }
}
