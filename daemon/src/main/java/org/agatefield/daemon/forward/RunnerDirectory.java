package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.daemon.forward.wire.StoredObjectDialect;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks the runners that may receive requests, from their entries in the store.
 *
 * <p>Invariants: a runner whose entry is draining, or is deleted while the store responds, receives
 * no further request; entries that expired while the store was unavailable remain usable until
 * {@link #RETURN_MILLISECONDS} after its return, since live runners rewrite their entries within
 * that time, and so do entries that are younger than the copy that the store came back from; an
 * entry that is older than what is known of its runner changes nothing, wherever it comes from; an
 * entry of another instance is used only until the store is reached, and then like an expired one
 * unless the store has it. Confined to one event loop.
 */
final class RunnerDirectory implements InformerListener {
  /**
   * How long after the store's return an expired entry may be rewritten; a runner writes its entry
   * every second.
   */
  static final long RETURN_MILLISECONDS = 2_200;

  private static final Logger LOGGER = LogManager.getLogger(RunnerDirectory.class);

  private final StoredObjectDialect dialect;
  private final Map<String, RunnerEntry> entries = new HashMap<>();
  private final Map<String, JsonNode> contents = new HashMap<>();
  private final NewestEntries newest = new NewestEntries();
  private final Set<String> unreadable = new HashSet<>(); // Logged once, however often rewritten.
  private final Map<String, Long> expiredAt = new HashMap<>();
  private final RunnerRestarts restarts = new RunnerRestarts();
  private final Set<String> knownFromPeersOnly = new HashSet<>();
  private final Map<String, List<RunnerEntry>> usableByService = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private boolean storeAvailable = true;
  private OptionalLong firstListAt = OptionalLong.empty();
  private long storeReturnedAt = Long.MIN_VALUE / 2;
  private long confirmedAt = Long.MIN_VALUE / 2;

  /** Receives changes on the event loop. */
  interface Listener {
    /** Called when an entry was added or changed. */
    void runnerChanged(RunnerEntry entry, boolean newProcess);

    /** Called when a runner was removed. */
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
    restarts.watchBegan(confirmedAt);
    if (firstListAt.isEmpty()) {
      firstListAt = OptionalLong.of(confirmedAt);
    }
    knownFromPeersOnly.stream()
        .filter(id -> !objects.containsKey(id))
        .forEach(id -> expireUnlisted(id, confirmedAt));
    knownFromPeersOnly.clear();
  }

  private void expireUnlisted(String id, long now) {
    if (entries.containsKey(id) && expiredAt.putIfAbsent(id, now) == null) {
      LOGGER.info(
          "runner={} entry=unlisted source=peer store_returned_ms_ago={}",
          id,
          millisecondsSinceStoreReturn(now));
    }
  }

  @Override
  public void changed(StoredObject object) {
    knownFromPeersOnly.remove(object.key().name());
    apply(object.key().name(), object.content(), object.resourceVersion());
  }

  @Override
  public void deleted(ObjectKey key) {
    unreadable.remove(key.name());
    long now = MonotonicClock.milliseconds();
    boolean mayReturn = !storeAvailable || now - storeReturnedAt < RETURN_MILLISECONDS;
    RunnerEntry entry = entries.get(key.name());
    if (entry == null) {
      return;
    }
    if (mayReturn && !entry.draining()) {
      expiredAt.put(key.name(), now);
      LOGGER.info(
          "runner={} entry=lapsed store_returned_ms_ago={}",
          key.name(),
          millisecondsSinceStoreReturn(now));
      return;
    }
    newest.recordLeft(entry, now);
    remove(key.name(), "deleted");
  }

  /** Keeps a runner whose entry the store has lost until it had the time to write it again. */
  @Override
  public void lost(ObjectKey key) {
    long now = MonotonicClock.milliseconds();
    RunnerEntry entry = entries.get(key.name());
    if (entry == null) {
      return;
    }
    storeReturnedAt = now;
    expiredAt.put(key.name(), now);
    LOGGER.info("runner={} entry=lost draining={}", key.name(), entry.draining());
  }

  /** Removes runners whose expired entries were not rewritten in time. */
  void removeExpired(long now) {
    newest.forgetOld(now);
    restarts.forgetOld(now);
    // The store may have been away before this process first reached it.
    long contactAt = Math.max(storeReturnedAt, firstListAt.orElse(storeReturnedAt));
    if (expiredAt.isEmpty() || !storeAvailable || now - contactAt < RETURN_MILLISECONDS) {
      return;
    }
    List<String> gone = List.copyOf(expiredAt.keySet());
    expiredAt.clear();
    gone.forEach(id -> remove(id, "lapsed"));
  }

  /** Adds the entry of another instance if the runner is unknown and the store is not in reach. */
  void addFromPeer(String id, JsonNode content, long ageMilliseconds) {
    if (entries.containsKey(id)) {
      return;
    }
    boolean storeDecides = firstListAt.isPresent() && storeAvailable;
    LOGGER.info("runner={} source=peer age_ms={} used={}", id, ageMilliseconds, !storeDecides);
    if (!storeDecides) {
      apply(id, content, "peer");
      knownFromPeersOnly.add(id);
    }
  }

  Optional<RunnerEntry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns when a runner started again under its identifier, or may have; empty if it did not. */
  OptionalLong restartedAt(String id) {
    return restarts.of(id);
  }

  Collection<RunnerEntry> all() {
    return entries.values();
  }

  /** Returns the runners of a service that accept new requests. */
  List<RunnerEntry> usable(String service) {
    // Cached because every request needs the list while entries rarely change.
    return usableByService.computeIfAbsent(
        service,
        serviceName ->
            entries.values().stream()
                .filter(entry -> entry.service().equals(serviceName) && !entry.draining())
                .toList());
  }

  /** Returns the entries as stored, by runner identifier. */
  Map<String, JsonNode> contents() {
    return contents;
  }

  /** Returns how long ago the store last confirmed the entries. */
  long ageMilliseconds() {
    return MonotonicClock.milliseconds() - confirmedAt;
  }

  private void apply(String id, JsonNode content, String version) {
    Optional<RunnerEntry> decoded = dialect.decodeRunner(id, content);
    if (decoded.isEmpty()) {
      if (unreadable.add(id)) {
        LOGGER.warn("runner={} version={} entry=unreadable", id, version);
      }
      remove(id, "unreadable");
      return;
    }
    unreadable.remove(id);
    RunnerEntry entry = decoded.get();
    if (newest.isOutdated(entry)) {
      LOGGER.info("runner={} version={} entry=outdated", id, version);
      return;
    }
    expiredAt.remove(id);
    if (newest.isOfOtherProcess(entry)) {
      restarts.restarted(id, MonotonicClock.milliseconds());
    } else if (newest.isFirstOf(entry)) {
      restarts.firstSeen(entry, MonotonicClock.milliseconds(), System.currentTimeMillis());
    }
    newest.record(entry);
    RunnerEntry before = entries.put(id, entry);
    usableByService.clear();
    contents.put(id, content);
    boolean newProcess =
        before == null || before.startTimeMilliseconds() != entry.startTimeMilliseconds();
    boolean newState = newProcess || before.draining() != entry.draining();
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
    listeners.forEach(listener -> listener.runnerChanged(entry, newProcess));
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

  private long millisecondsSinceStoreReturn(long now) {
    return storeAvailable ? now - storeReturnedAt : -1;
  }
}
