package org.agatefield.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches prompt prefixes up to a fixed number of blocks and publishes cache events with a delay and
 * with gaps in their sequence.
 *
 * <p>Confined to the event loop of the engine.
 */
final class PrefixCache {
  static final int BLOCK_BYTES = 256;
  private static final int CAPACITY_BLOCKS = 4096;
  private static final int RETAINED_EVENTS = 2048;
  private static final int EVENTS_TO_A_GAP = 16;
  private static final long PUBLICATION_DELAY_NANOSECONDS = 500_000_000;

  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
  private final List<CacheEvent> events = new ArrayList<>();
  private long nextSequence = 1;

  /** Caches the prefixes of a prompt and returns how many of its blocks were not yet cached. */
  int admit(String prompt, long nowNanoseconds) {
    int missing = 0;
    long hash = 1;
    for (int start = 0; start < prompt.length(); start += BLOCK_BYTES) {
      int end = Math.min(prompt.length(), start + BLOCK_BYTES);
      hash = hash * 31 + prompt.substring(start, end).hashCode();
      if (blocks.get(hash) == null) {
        missing++;
        blocks.put(hash, Boolean.TRUE);
        publish("stored", hash, nowNanoseconds);
      }
    }
    evict(nowNanoseconds);
    return missing;
  }

  /** Returns the published events after a sequence number. */
  List<CacheEvent> eventsAfter(long sequence, long nowNanoseconds) {
    return events.stream()
        .filter(event -> event.sequence() > sequence)
        .filter(event -> event.sequence() % EVENTS_TO_A_GAP != 0)
        .filter(event -> nowNanoseconds - event.atNanoseconds() > PUBLICATION_DELAY_NANOSECONDS)
        .toList();
  }

  private void evict(long nowNanoseconds) {
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > CAPACITY_BLOCKS) {
      long hash = oldest.next();
      oldest.remove();
      publish("removed", hash, nowNanoseconds);
    }
  }

  private void publish(String kind, long hash, long nowNanoseconds) {
    events.add(new CacheEvent(nextSequence, kind, hash, nowNanoseconds));
    nextSequence++;
    if (events.size() > RETAINED_EVENTS) {
      events.remove(0);
    }
  }

  /**
   * A change of the cache. Immutable.
   *
   * @param sequence increases by 1 with each event; a missing number means a lost event
   * @param kind {@code stored} or {@code removed}
   * @param prefixHash the hash of the prefix
   * @param atNanoseconds time of the change on the engine's monotonic clock
   */
  record CacheEvent(long sequence, String kind, long prefixHash, long atNanoseconds) {}
}
