package org.agatefield.placement;

import java.util.HashMap;
import java.util.Map;
import org.agatefield.model.VersionId;

/**
 * How long a planner has seen each ledger entry as it is, by its own monotonic clock.
 *
 * <p>A new planner begins with nothing, so that an age is never longer than the truth; clocks of
 * different instances are never compared. Not safe for use by several threads.
 */
public final class LedgerAges {
  /** What an age belongs to; a change of any part starts a new age. */
  private record Sighting(LedgerState state, long orderToken, long firstSeenNanoseconds) {}

  private final Map<String, Map<VersionId, Sighting>> sightings = new HashMap<>();

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

  /** Forgets everything, as a planner does that gains its lease anew. */
  public void clear() {
    sightings.clear();
  }
}
