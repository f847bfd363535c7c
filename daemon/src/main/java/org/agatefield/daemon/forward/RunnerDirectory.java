package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.daemon.forward.wire.StoredObjectDialect;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The runners that may get requests, from their entries in the store.
 *
 * <p>Invariants: a runner whose entry says that it leaves, or is deleted while the store answers,
 * gets no further request; entries that lapsed while the store was away stay usable until {@link
 * #RETURN_MILLISECONDS} after its return, since runners that live write them again in that time.
 * Confined to one event loop.
 */
final class RunnerDirectory implements InformerListener {
  /**
   * How long after the store's return a lapsed entry may come back; a runner writes each second.
   */
  static final long RETURN_MILLISECONDS = 2_200;

  private static final Logger LOGGER = LogManager.getLogger(RunnerDirectory.class);

  private final StoredObjectDialect dialect;
  private final Map<String, RunnerEntry> entries = new HashMap<>();
  private final Map<String, JsonNode> contents = new HashMap<>();
  private final Map<String, Long> lapsedAt = new HashMap<>();
  private final Map<String, List<RunnerEntry>> usableByService = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private boolean storeAvailable = true;
  private long storeReturnedAt = Long.MIN_VALUE / 2;
  private long confirmedAt = Long.MIN_VALUE / 2;

  /** Told of changes on the event loop. */
  interface Listener {
    /** An entry changed or was added. */
    void runnerChanged(RunnerEntry entry, boolean newLife);

    /** A runner is gone. */
    void runnerGone(String id);
  }

  RunnerDirectory(StoredObjectDialect dialect) {
    this.dialect = dialect;
  }

  void listen(Listener listener) {
    listeners.add(listener);
  }

  @Override
  public void availabilityChanged(boolean available) {
    storeAvailable = available;
    if (available) {
      storeReturnedAt = MonotonicClock.milliseconds();
    }
  }

  @Override
  public void updated(Map<String, StoredObject> objects) {
    confirmedAt = MonotonicClock.milliseconds();
  }

  @Override
  public void changed(StoredObject object) {
    String id = object.key().name();
    lapsedAt.remove(id);
    learn(id, object.content(), object.resourceVersion());
  }

  @Override
  public void deleted(ObjectKey key) {
    long now = MonotonicClock.milliseconds();
    boolean mayReturn = !storeAvailable || now - storeReturnedAt < RETURN_MILLISECONDS;
    RunnerEntry entry = entries.get(key.name());
    if (entry == null) {
      return;
    }
    if (mayReturn && !entry.draining()) {
      lapsedAt.put(key.name(), now);
      LOGGER.info("runner={} entry=lapsed store_returned_ms_ago={}", key.name(), ago(now));
      return;
    }
    remove(key.name(), "deleted");
  }

  /** Drops the runners whose entries have not come back in time. */
  void dropLapsed(long now) {
    if (lapsedAt.isEmpty() || !storeAvailable || now - storeReturnedAt < RETURN_MILLISECONDS) {
      return;
    }
    List<String> gone = List.copyOf(lapsedAt.keySet());
    lapsedAt.clear();
    gone.forEach(id -> remove(id, "lapsed"));
  }

  /** Takes entries from another instance, for runners that nothing is known of yet. */
  void addFromPeer(String id, JsonNode content, long ageMilliseconds) {
    if (!entries.containsKey(id)) {
      LOGGER.info("runner={} source=peer age_ms={}", id, ageMilliseconds);
      learn(id, content, "peer");
    }
  }

  Optional<RunnerEntry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  Collection<RunnerEntry> all() {
    return entries.values();
  }

  /** Returns the runners of a service that take new work. */
  List<RunnerEntry> usable(String service) {
    // Every request asks, entries change rarely.
    return usableByService.computeIfAbsent(
        service,
        wanted ->
            entries.values().stream()
                .filter(entry -> entry.service().equals(wanted) && !entry.draining())
                .toList());
  }

  /** Returns the entries as they lie in the store, by the runners' identifiers. */
  Map<String, JsonNode> contents() {
    return contents;
  }

  /** Returns how long ago the store last confirmed the entries. */
  long ageMilliseconds() {
    return MonotonicClock.milliseconds() - confirmedAt;
  }

  private void learn(String id, JsonNode content, String version) {
    Optional<RunnerEntry> decoded = dialect.decodeRunner(id, content);
    if (decoded.isEmpty()) {
      LOGGER.warn("runner={} version={} entry=unreadable", id, version);
      remove(id, "unreadable");
      return;
    }
    RunnerEntry entry = decoded.get();
    RunnerEntry before = entries.put(id, entry);
    usableByService.clear();
    contents.put(id, content);
    boolean newLife =
        before == null || before.startTimeMilliseconds() != entry.startTimeMilliseconds();
    boolean newState = newLife || before.draining() != entry.draining();
    if (newState) {
      LOGGER.info(
          "runner={} service={} draining={} address={} domain={} version={}",
          id,
          entry.service(),
          entry.draining(),
          entry.address(),
          entry.failureDomain(),
          version);
    }
    listeners.forEach(listener -> listener.runnerChanged(entry, newLife));
  }

  private void remove(String id, String cause) {
    contents.remove(id);
    if (entries.remove(id) == null) {
      return;
    }
    usableByService.clear();
    LOGGER.info("runner={} gone=true cause={}", id, cause);
    listeners.forEach(listener -> listener.runnerGone(id));
  }

  private long ago(long now) {
    return storeAvailable ? now - storeReturnedAt : -1;
  }
}
