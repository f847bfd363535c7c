package org.agatefield.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.agatefield.model.VersionId;

/**
 * Records what a planner has observed since it took over: how long each ledger entry has been
 * unchanged, by its own monotonic clock, and which unload orders the engines confirmed.
 *
 * <p>A new planner starts without observations, so that a measured age never exceeds the real one;
 * clocks of different instances are never compared. Not thread-safe.
 */
public final class LedgerAges {
  /** The observed state of an entry; a new state or order token restarts its age. */
  private record Observation(LedgerState state, long orderToken, long firstSeenNanoseconds) {}

  /** An unload order that the engine confirmed. */
  private record ConfirmedUnload(long orderToken, long sentAtNanoseconds) {}

  private final Map<String, Map<VersionId, Observation>> observations = new HashMap<>();
  private final Map<String, Long> firstObservedNanoseconds = new HashMap<>();
  private final Map<String, Map<VersionId, ConfirmedUnload>> confirmedUnloads = new HashMap<>();

  /** Records a runner's ledger as it is at a time. */
  public void observe(RunnerLedger ledger, long nowNanoseconds) {
    firstObservedNanoseconds.putIfAbsent(ledger.upstream(), nowNanoseconds);
    Map<VersionId, Observation> earlier = observations.getOrDefault(ledger.upstream(), Map.of());
    Map<VersionId, Observation> current = new HashMap<>();
    for (LedgerEntry entry : ledger.entries()) {
      Observation seen = earlier.get(entry.version());
      boolean unchanged =
          seen != null && seen.state() == entry.state() && seen.orderToken() == entry.orderToken();
      current.put(
          entry.version(),
          unchanged ? seen : new Observation(entry.state(), entry.orderToken(), nowNanoseconds));
    }
    observations.put(ledger.upstream(), current);
  }

  /** Returns when a runner's ledger was first observed, or {@code otherwise}. */
  public long firstObservedNanoseconds(String upstream, long otherwise) {
    return firstObservedNanoseconds.getOrDefault(upstream, otherwise);
  }

  /** Returns how long the entry has been observed unchanged; 0 if it was not observed. */
  public long ageNanoseconds(String upstream, LedgerEntry entry, long nowNanoseconds) {
    return nowNanoseconds - firstSeenNanoseconds(upstream, entry, nowNanoseconds);
  }

  /** Returns when the entry was first observed in its present state, or {@code otherwise}. */
  public long firstSeenNanoseconds(String upstream, LedgerEntry entry, long otherwise) {
    Observation seen = observations.getOrDefault(upstream, Map.of()).get(entry.version());
    boolean same =
        seen != null && seen.state() == entry.state() && seen.orderToken() == entry.orderToken();
    return same ? seen.firstSeenNanoseconds() : otherwise;
  }

  /** Records that an engine confirmed an order to unload a version. */
  public void recordUnload(
      String upstream, VersionId version, long orderToken, long sentAtNanoseconds) {
    confirmedUnloads
        .computeIfAbsent(upstream, created -> new HashMap<>())
        .put(version, new ConfirmedUnload(orderToken, sentAtNanoseconds));
  }

  /** Returns when the entry's last unload order was sent, if the engine confirmed it. */
  public OptionalLong unloadSentNanoseconds(String upstream, LedgerEntry entry) {
    ConfirmedUnload unload = confirmedUnloads.getOrDefault(upstream, Map.of()).get(entry.version());
    boolean same = unload != null && unload.orderToken() == entry.orderToken();
    return same ? OptionalLong.of(unload.sentAtNanoseconds()) : OptionalLong.empty();
  }

  /** Discards all observations; called when the planner acquires its lease again. */
  public void clear() {
    observations.clear();
    firstObservedNanoseconds.clear();
    confirmedUnloads.clear();
  }
}
