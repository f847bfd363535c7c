package org.agatefield.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.agatefield.model.VersionId;

/**
 * What a planner itself has seen since it took over: how long each ledger entry has been as it is,
 * by its own monotonic clock, and which orders to unload the engines answered.
 *
 * <p>A new planner begins with nothing, so that an age is never longer than the truth; clocks of
 * different instances are never compared. Not safe for use by several threads.
 */
public final class LedgerAges {
  /** What an age belongs to; a change of any part starts a new age. */
  private record Sighting(LedgerState state, long orderToken, long firstSeenNanoseconds) {}

  /** An order to unload that the engine carried out. */
  private record Unload(long orderToken, long sentAtNanoseconds) {}

  private final Map<String, Map<VersionId, Sighting>> sightings = new HashMap<>();
  private final Map<String, Map<VersionId, Unload>> unloads = new HashMap<>();

  /** Records a runner's ledger as seen at a time. */
  public void observe(RunnerLedger ledger, long nowNanoseconds) {
    Map<VersionId, Sighting> earlier = sightings.getOrDefault(ledger.upstream(), Map.of());
    Map<VersionId, Sighting> current = new HashMap<>();
    for (LedgerEntry entry : ledger.entries()) {
      Sighting seen = earlier.get(entry.version());
      boolean unchanged =
          seen != null && seen.state() == entry.state() && seen.orderToken() == entry.orderToken();
      current.put(
          entry.version(),
          unchanged ? seen : new Sighting(entry.state(), entry.orderToken(), nowNanoseconds));
    }
    sightings.put(ledger.upstream(), current);
  }

  /** Returns how long the entry has been seen as it is; 0 if it was not observed. */
  public long ageNanoseconds(String upstream, LedgerEntry entry, long nowNanoseconds) {
    return nowNanoseconds - firstSeenNanoseconds(upstream, entry, nowNanoseconds);
  }

  /** Returns when the entry was first seen as it is; {@code otherwise} if it was not observed. */
  public long firstSeenNanoseconds(String upstream, LedgerEntry entry, long otherwise) {
    Sighting seen = sightings.getOrDefault(upstream, Map.of()).get(entry.version());
    boolean same =
        seen != null && seen.state() == entry.state() && seen.orderToken() == entry.orderToken();
    return same ? seen.firstSeenNanoseconds() : otherwise;
  }

  /** Records that an engine answered an order to unload a version as done. */
  public void recordUnload(
      String upstream, VersionId version, long orderToken, long sentAtNanoseconds) {
    unloads
        .computeIfAbsent(upstream, created -> new HashMap<>())
        .put(version, new Unload(orderToken, sentAtNanoseconds));
  }

  /** Returns when the last order to unload the entry was sent, if the engine carried it out. */
  public OptionalLong unloadSentNanoseconds(String upstream, LedgerEntry entry) {
    Unload unload = unloads.getOrDefault(upstream, Map.of()).get(entry.version());
    boolean same = unload != null && unload.orderToken() == entry.orderToken();
    return same ? OptionalLong.of(unload.sentAtNanoseconds()) : OptionalLong.empty();
  }

  /** Forgets everything, as a planner does that gains its lease anew. */
  public void clear() {
    sightings.clear();
    unloads.clear();
  }
}
