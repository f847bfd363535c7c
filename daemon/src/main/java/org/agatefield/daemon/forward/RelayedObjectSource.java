package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.node.NullNode;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.agatefield.daemon.peers.CompressedJson;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ContentLimits;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectList;
import org.agatefield.store.ObjectSource;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoreVersion;
import org.agatefield.store.StoredObject;
import org.agatefield.store.WatchListener;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the store's objects from instances that watch the store, or from the store itself.
 *
 * <p>Every call of the store is counted and charged, which rules out a watch by each instance of a
 * large fleet. The relay sources are tried in order; the store is read if there are none, or if
 * none responds, and then at most once per {@link #STORE_PAUSE_MILLISECONDS}. Any failure of a
 * source ends the watch with {@code VERSION_GONE}, so that the next list selects a source again.
 * Invariants: an instance that watches the store itself switches back to relays within {@link
 * #STORE_WATCH_MILLISECONDS} after they are available; once objects of an era of the store were
 * returned, a list of an earlier era is refused, so that no instance goes back to a history that
 * the store has left. A source that names no era is accepted. Safe for use by any thread.
 */
final class RelayedObjectSource implements ObjectSource {
  private static final Logger LOGGER = LogManager.getLogger(RelayedObjectSource.class);
  private static final String RELAYED_VERSION_PREFIX = "relayed/";
  // A stalled source is detected after 1.3 s.
  private static final int POLL_WAIT_MILLISECONDS = 1_000;
  // In addition to the wait; sources are nearby.
  private static final long RESPONSE_TIMEOUT_MILLISECONDS = 300;
  // A starting fleet discovers its relays in about one second.
  private static final long STORE_WATCH_MILLISECONDS = 2_000;
  // Each store call is charged, also during an outage.
  private static final long STORE_PAUSE_MILLISECONDS = 1_500;

  private final Vertx vertx;
  private final ObjectSource store;
  private final Supplier<List<Instance>> sources;
  private final RequestSender sender;
  private final Function<ObjectKind, ContentLimits> limits;
  private final Map<ObjectKind, String> lastSource = new HashMap<>();
  private final Map<ObjectKind, Long> storeReadAt = new HashMap<>();
  private final Map<ObjectKind, Long> newestEras = new HashMap<>();

  /** Sends requests to other instances. */
  @FunctionalInterface
  interface RequestSender {
    CompletableFuture<PeerMessage> send(
        Instance instance, PeerMessage request, long limitMilliseconds);
  }

  /**
   * Creates a source.
   *
   * @param sources the relay instances to query instead of the store, best first
   * @param limits what is read of the contents of a kind
   */
  RelayedObjectSource(
      Vertx vertx,
      ObjectSource store,
      Supplier<List<Instance>> sources,
      RequestSender sender,
      Function<ObjectKind, ContentLimits> limits) {
    this.vertx = vertx;
    this.store = store;
    this.sources = sources;
    this.sender = sender;
    this.limits = limits;
  }

  @Override
  public CompletableFuture<ObjectList> list(ObjectKind kind) {
    CompletableFuture<ObjectList> result = new CompletableFuture<>();
    listFrom(kind, sources.get(), 0, result);
    return result;
  }

  private void listFrom(
      ObjectKind kind, List<Instance> from, int index, CompletableFuture<ObjectList> result) {
    if (index == from.size()) {
      listFromStore(kind, !from.isEmpty(), result);
      return;
    }
    Instance source = from.get(index);
    requestObjects(source, kind, "", 0)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null && answer.whole() && isCurrent(kind, eraOf(answer))) {
                recordSource(kind, source.id());
                result.complete(
                    new ObjectList(
                        relayedVersion(source, answer), objects(kind, answer.objects())));
                return;
              }
              LOGGER.debug("objects kind={} source={} failed", kind, source.id(), failure);
              listFrom(kind, from, index + 1, result);
            });
  }

  private void listFromStore(
      ObjectKind kind, boolean rateLimited, CompletableFuture<ObjectList> result) {
    if (rateLimited && !mayReadStore(kind)) {
      result.completeExceptionally(
          new StoreException(StoreFailure.UNAVAILABLE, "no relay has the objects"));
      return;
    }
    store
        .list(kind)
        .whenComplete(
            (list, failure) -> {
              if (failure != null) {
                result.completeExceptionally(failure);
                return;
              }
              if (!isCurrent(kind, eraOf(list.resourceVersion()))) {
                result.completeExceptionally(
                    new StoreException(StoreFailure.UNAVAILABLE, "list of an earlier era"));
                return;
              }
              recordSource(kind, "store");
              result.complete(list);
            });
  }

  private synchronized boolean mayReadStore(ObjectKind kind) {
    long now = MonotonicClock.milliseconds();
    Long before = storeReadAt.get(kind);
    if (before != null && now - before < STORE_PAUSE_MILLISECONDS) {
      return false;
    }
    storeReadAt.put(kind, now);
    return true;
  }

  /** Records an era; returns whether no later one is known. */
  private synchronized boolean isCurrent(ObjectKind kind, long era) {
    long newest = newestEras.merge(kind, era, Math::max);
    return era == StoreVersion.NO_ERA || era == newest;
  }

  /** Returns the era in a version of the store or of a relay. */
  static long eraOf(String version) {
    String named =
        version.startsWith(RELAYED_VERSION_PREFIX)
            ? version.substring(version.indexOf('/', RELAYED_VERSION_PREFIX.length()) + 1)
            : version;
    return StoreVersion.parse(named).era();
  }

  private static long eraOf(PeerMessage.ObjectsAnswer answer) {
    LongStream objects =
        answer.objects().stream().mapToLong(state -> eraOf(state.resourceVersion()));
    return Math.max(eraOf(answer.version()), objects.max().orElse(StoreVersion.NO_ERA));
  }

  private synchronized void recordSource(ObjectKind kind, String source) {
    String before = lastSource.put(kind, source);
    if (!source.equals(before)) {
      LOGGER.info("objects kind={} source={} before={}", kind, source, before);
    }
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    if (!fromVersion.startsWith(RELAYED_VERSION_PREFIX)) {
      return new StoreWatch(kind, fromVersion, listener);
    }
    String[] parts = fromVersion.substring(RELAYED_VERSION_PREFIX.length()).split("/", 2);
    RelayWatch watch = new RelayWatch(kind, parts[0], listener);
    watch.poll(parts[1]);
    return watch;
  }

  private CompletableFuture<PeerMessage.ObjectsAnswer> requestObjects(
      Instance source, ObjectKind kind, String fromVersion, int wait) {
    return sender
        .send(
            source,
            new PeerMessage.ObjectsRequest(kind.plural(), fromVersion, wait),
            wait + RESPONSE_TIMEOUT_MILLISECONDS)
        .thenApply(
            answer -> {
              if (answer instanceof PeerMessage.ObjectsAnswer objects) {
                return objects;
              }
              throw new StoreException(
                  StoreFailure.UNAVAILABLE, "the response contains no objects");
            });
  }

  private static String relayedVersion(Instance source, PeerMessage.ObjectsAnswer answer) {
    return RELAYED_VERSION_PREFIX + source.id() + '/' + answer.version();
  }

  private List<StoredObject> objects(ObjectKind kind, List<PeerMessage.ObjectState> states) {
    List<StoredObject> objects = new ArrayList<>();
    for (PeerMessage.ObjectState state : states) {
      state.content().ifPresent(content -> objects.add(object(kind, state, content)));
    }
    return objects;
  }

  /** Returns a relayed object; its content is null if it cannot be read or exceeds the limits. */
  private StoredObject object(ObjectKind kind, PeerMessage.ObjectState state, byte[] content) {
    return new StoredObject(
        new ObjectKey(kind, state.name()),
        state.resourceVersion(),
        List.of(),
        CompressedJson.decompress(content, limits.apply(kind)).orElse(NullNode.getInstance()));
  }

  private static StoreException gone(String reason) {
    return new StoreException(StoreFailure.VERSION_GONE, reason);
  }

  /** Watches the store until relay sources are available again. */
  private final class StoreWatch implements AutoCloseable {
    private final AutoCloseable watch;
    private final WatchListener listener;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile long timer;

    StoreWatch(ObjectKind kind, String fromVersion, WatchListener listener) {
      this.listener = listener;
      this.watch = store.watch(kind, fromVersion, listener);
      scheduleCheck();
    }

    private void scheduleCheck() {
      timer = vertx.setTimer(STORE_WATCH_MILLISECONDS, fired -> checkSources());
    }

    private void checkSources() {
      if (closed.get()) {
        return;
      }
      if (sources.get().isEmpty()) {
        scheduleCheck();
        return;
      }
      close();
      listener.ended(gone("relay sources are available"));
    }

    @Override
    public void close() {
      if (!closed.compareAndSet(false, true)) {
        return;
      }
      vertx.cancelTimer(timer);
      try {
        watch.close();
      } catch (Exception exception) {
        LOGGER.warn("could not close a store watch", exception);
      }
    }
  }

  /** Polls one relay instance for changes. */
  private final class RelayWatch implements AutoCloseable {
    private final ObjectKind kind;
    private final String sourceId;
    private final WatchListener listener;
    private final AtomicBoolean closed = new AtomicBoolean();

    RelayWatch(ObjectKind kind, String sourceId, WatchListener listener) {
      this.kind = kind;
      this.sourceId = sourceId;
      this.listener = listener;
    }

    void poll(String version) {
      if (closed.get()) {
        return;
      }
      Optional<Instance> source =
          sources.get().stream().filter(each -> each.id().equals(sourceId)).findFirst();
      if (source.isEmpty()) {
        end(sourceId + " is no longer a relay source");
        return;
      }
      requestObjects(source.get(), kind, version, POLL_WAIT_MILLISECONDS)
          .whenComplete((answer, failure) -> answered(source.get(), answer, failure));
    }

    private void answered(Instance source, PeerMessage.ObjectsAnswer answer, Throwable failure) {
      if (closed.get()) {
        return;
      }
      if (failure != null || answer.whole()) {
        end(
            failure == null
                ? "the relay no longer retains the changes"
                : String.valueOf(failure.getMessage()));
        return;
      }
      if (!isCurrent(kind, eraOf(answer))) {
        end("the relay is in an earlier era of the store");
        return;
      }
      for (PeerMessage.ObjectState state : answer.objects()) {
        report(state);
      }
      listener.reached(relayedVersion(source, answer));
      poll(answer.version());
    }

    private void report(PeerMessage.ObjectState state) {
      if (state.content().isEmpty()) {
        listener.deleted(new ObjectKey(kind, state.name()), state.resourceVersion());
      } else {
        listener.changed(object(kind, state, state.content().get()));
      }
    }

    private void end(String reason) {
      if (closed.compareAndSet(false, true)) {
        LOGGER.info("objects kind={} source={} ended=\"{}\"", kind, sourceId, reason);
        listener.ended(gone(reason));
      }
    }

    @Override
    public void close() {
      closed.set(true);
    }
  }
}
