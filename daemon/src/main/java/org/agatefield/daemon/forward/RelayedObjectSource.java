package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.agatefield.daemon.peers.CompressedJson;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectList;
import org.agatefield.store.ObjectSource;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.agatefield.store.StoredObject;
import org.agatefield.store.WatchListener;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Learns the store's objects from instances that watch the store, or from the store itself.
 *
 * <p>Answers the load of many instances that each watch a store whose calls are counted and paid
 * for. The sources are tried in their order; the store is asked if there are none, or if none
 * answers, and then at most each {@link #STORE_PAUSE_MILLISECONDS}. Any failure of a source ends
 * the watch as gone, so that the next list chooses again. Invariant: whoever is its own source
 * returns to the others within {@link #STORE_WATCH_MILLISECONDS} after they are there. Safe for use
 * by any thread.
 */
final class RelayedObjectSource implements ObjectSource {
  private static final Logger LOGGER = LogManager.getLogger(RelayedObjectSource.class);
  private static final String RELAYED = "relayed/";
  private static final int WAIT_MILLISECONDS =
      1_000; // a source that stands still is found in 1.3 s
  private static final long ANSWER_MILLISECONDS = 300; // beyond the wait; sources are near
  private static final long STORE_WATCH_MILLISECONDS =
      2_000; // a fleet that starts finds its relays in about one
  private static final long STORE_PAUSE_MILLISECONDS = 1_500; // an outage is paid for call by call

  private final Vertx vertx;
  private final ObjectSource store;
  private final Supplier<List<Instance>> sources;
  private final Requests requests;
  private final Map<ObjectKind, String> lastSource = new HashMap<>();
  private final Map<ObjectKind, Long> storeAskedAt = new HashMap<>();

  /** Sends requests to other instances. */
  @FunctionalInterface
  interface Requests {
    CompletableFuture<PeerMessage> send(
        Instance instance, PeerMessage request, long limitMilliseconds);
  }

  /**
   * Creates a source.
   *
   * @param sources whom to ask instead of the store, best first
   */
  RelayedObjectSource(
      Vertx vertx, ObjectSource store, Supplier<List<Instance>> sources, Requests requests) {
    this.vertx = vertx;
    this.store = store;
    this.sources = sources;
    this.requests = requests;
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
    ask(source, kind, "", 0)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null && answer.whole()) {
                noteSource(kind, source.id());
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
      ObjectKind kind, boolean sparingly, CompletableFuture<ObjectList> result) {
    if (sparingly && !mayAskStore(kind)) {
      result.completeExceptionally(
          new StoreException(StoreFailure.UNAVAILABLE, "no instance knows the objects"));
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
              noteSource(kind, "store");
              result.complete(list);
            });
  }

  private synchronized boolean mayAskStore(ObjectKind kind) {
    long now = MonotonicClock.milliseconds();
    Long before = storeAskedAt.get(kind);
    if (before != null && now - before < STORE_PAUSE_MILLISECONDS) {
      return false;
    }
    storeAskedAt.put(kind, now);
    return true;
  }

  private synchronized void noteSource(ObjectKind kind, String source) {
    String before = lastSource.put(kind, source);
    if (!source.equals(before)) {
      LOGGER.info("objects kind={} source={} before={}", kind, source, before);
    }
  }

  @Override
  public AutoCloseable watch(ObjectKind kind, String fromVersion, WatchListener listener) {
    if (!fromVersion.startsWith(RELAYED)) {
      return new StoreWatch(kind, fromVersion, listener);
    }
    String[] parts = fromVersion.substring(RELAYED.length()).split("/", 2);
    RelayWatch watch = new RelayWatch(kind, parts[0], listener);
    watch.poll(parts[1]);
    return watch;
  }

  private CompletableFuture<PeerMessage.ObjectsAnswer> ask(
      Instance source, ObjectKind kind, String fromVersion, int wait) {
    return requests
        .send(
            source,
            new PeerMessage.ObjectsRequest(kind.plural(), fromVersion, wait),
            wait + ANSWER_MILLISECONDS)
        .thenApply(
            answer -> {
              if (answer instanceof PeerMessage.ObjectsAnswer objects) {
                return objects;
              }
              throw new StoreException(StoreFailure.UNAVAILABLE, "the answer holds no objects");
            });
  }

  private static String relayedVersion(Instance source, PeerMessage.ObjectsAnswer answer) {
    return RELAYED + source.id() + '/' + answer.version();
  }

  private static List<StoredObject> objects(ObjectKind kind, List<PeerMessage.ObjectState> states) {
    List<StoredObject> objects = new ArrayList<>();
    states.forEach(state -> object(kind, state).ifPresent(objects::add));
    return objects;
  }

  private static Optional<StoredObject> object(ObjectKind kind, PeerMessage.ObjectState state) {
    return state
        .content()
        .flatMap(CompressedJson::decompress)
        .map(
            content ->
                new StoredObject(
                    new ObjectKey(kind, state.name()),
                    state.resourceVersion(),
                    List.of(),
                    content));
  }

  private static StoreException gone(String reason) {
    return new StoreException(StoreFailure.VERSION_GONE, reason);
  }

  /** A watch of the store that ends once there are other sources again. */
  private final class StoreWatch implements AutoCloseable {
    private final AutoCloseable watch;
    private final WatchListener listener;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile long timer;

    StoreWatch(ObjectKind kind, String fromVersion, WatchListener listener) {
      this.listener = listener;
      this.watch = store.watch(kind, fromVersion, listener);
      check();
    }

    private void check() {
      timer = vertx.setTimer(STORE_WATCH_MILLISECONDS, fired -> checked());
    }

    private void checked() {
      if (over.get()) {
        return;
      }
      if (sources.get().isEmpty()) {
        check();
        return;
      }
      close();
      listener.ended(gone("other instances watch the store"));
    }

    @Override
    public void close() {
      if (!over.compareAndSet(false, true)) {
        return;
      }
      vertx.cancelTimer(timer);
      try {
        watch.close();
      } catch (Exception exception) {
        LOGGER.warn("a watch of the store failed to close", exception);
      }
    }
  }

  /** Asks one instance for changes again and again. */
  private final class RelayWatch implements AutoCloseable {
    private final ObjectKind kind;
    private final String sourceId;
    private final WatchListener listener;
    private final AtomicBoolean over = new AtomicBoolean();

    RelayWatch(ObjectKind kind, String sourceId, WatchListener listener) {
      this.kind = kind;
      this.sourceId = sourceId;
      this.listener = listener;
    }

    void poll(String version) {
      if (over.get()) {
        return;
      }
      Optional<Instance> source =
          sources.get().stream().filter(each -> each.id().equals(sourceId)).findFirst();
      if (source.isEmpty()) {
        end(sourceId + " is no source any more");
        return;
      }
      ask(source.get(), kind, version, WAIT_MILLISECONDS)
          .whenComplete((answer, failure) -> answered(source.get(), answer, failure));
    }

    private void answered(Instance source, PeerMessage.ObjectsAnswer answer, Throwable failure) {
      if (over.get()) {
        return;
      }
      if (failure != null || answer.whole()) {
        end(failure == null ? "changes are not kept" : String.valueOf(failure.getMessage()));
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
        object(kind, state).ifPresent(listener::changed);
      }
    }

    private void end(String reason) {
      if (over.compareAndSet(false, true)) {
        LOGGER.info("objects kind={} source={} ended=\"{}\"", kind, sourceId, reason);
        listener.ended(gone(reason));
      }
    }

    @Override
    public void close() {
      over.set(true);
    }
  }
}
