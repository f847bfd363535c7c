package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.routing.PrefixTable.CacheEvent;
import org.junit.jupiter.api.Test;

class PrefixTableTest {
  @Test
  void longestKnownPrefixCounts() {
    PrefixTable table = new PrefixTable(100);
    table.sent("runner", List.of(1L, 2L));
    assertEquals(0.5, table.cachedShare("runner", List.of(1L, 2L, 3L, 4L)));
    assertEquals(0, table.cachedShare("other", List.of(1L, 2L)));
  }

  @Test
  void evictionEventRemovesPrefix() {
    PrefixTable table = new PrefixTable(100);
    table.sent("runner", List.of(1L, 2L));
    table.event("runner", new CacheEvent(1, List.of(), List.of(2L)));
    assertEquals(0.5, table.cachedShare("runner", List.of(1L, 2L)));
  }

  @Test
  void eventOlderThanTheLastAppliedOneIsIgnored() {
    PrefixTable table = new PrefixTable(100);
    table.event("runner", new CacheEvent(2, List.of(1L), List.of()));
    table.event("runner", new CacheEvent(1, List.of(), List.of(1L)));
    assertEquals(1, table.cachedShare("runner", List.of(1L)));
  }

  @Test
  void entriesFromBeforeGapCountHalf() {
    PrefixTable table = new PrefixTable(100);
    table.event("runner", new CacheEvent(1, List.of(1L), List.of()));
    table.event("runner", new CacheEvent(5, List.of(7L), List.of()));
    assertEquals(0.5, table.cachedShare("runner", List.of(1L)));
    assertEquals(1, table.cachedShare("runner", List.of(7L)));
  }

  @Property(tries = 200, seed = "5102")
  void storedPrefixesStayWithinTheCapacity(
      @ForAll @Size(max = 60) List<@IntRange(max = 1_000) Integer> hashes,
      @ForAll @IntRange(min = 1, max = 10) int capacity) {
    PrefixTable table = new PrefixTable(capacity);
    List<Long> distinct = new ArrayList<>();
    for (int hash : hashes) {
      distinct.add((long) hash);
      table.sent("runner", List.of((long) hash));
    }
    long stored =
        distinct.stream()
            .distinct()
            .filter(hash -> table.cachedShare("runner", List.of(hash)) > 0)
            .count();
    assertTrue(stored <= capacity);
  }
}
