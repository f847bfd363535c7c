package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdapterUseTest {
  private static final int MAXIMUM_CHARACTERS = 1_048_576;

  private final AdapterUse use = new AdapterUse();

  @Test
  void adaptersThatAreUsedMostComeFirst() {
    use.used("m", "a1", 0);
    use.used("m", "a2", 10);
    use.used("m", "a2", 20);
    use.used("n", "a9", 20);
    assertEquals(List.of("a2", "a1"), use.mostUsed("m", 100));
  }

  @Test
  void adapterThatNobodyAsksForAnyMoreIsForgotten() {
    use.used("m", "a1", 0);
    assertTrue(use.mostUsed("m", 120_000).isEmpty());
  }

  @Test
  void numberOfAdaptersIsBounded() {
    for (int index = 0; index < 10_000; index++) {
      use.used("m", "a" + index, 0);
    }
    assertEquals(4_096, use.mostUsed("m", 0).size());
  }

  /** Guards against a planner that long names of adapters end by memory. */
  @Test
  void namesOfAdaptersAreBoundedByTheirLength() {
    String name = "a".repeat(15_000);
    for (int index = 0; index < 4_000; index++) {
      use.used("m", name + index, 0);
    }
    long characters = use.mostUsed("m", 0).stream().mapToLong(String::length).sum();
    assertTrue(characters <= MAXIMUM_CHARACTERS, "characters " + characters);
  }

  @Test
  void namesOfModelsAreBoundedByTheirLength() {
    String name = "m".repeat(15_000);
    long characters = 0;
    for (int index = 0; index < 4_000; index++) {
      use.used(name + index, "a", 0);
    }
    for (int index = 0; index < 4_000; index++) {
      characters += (long) name.length() * use.mostUsed(name + index, 0).size();
    }
    assertTrue(characters <= MAXIMUM_CHARACTERS, "characters " + characters);
  }

  @Test
  void longNamesTakeNoPlaceOfOrdinaryOnes() {
    for (int index = 0; index < 4_096; index++) {
      use.used("m", "a".repeat(15_000) + index, 0);
    }
    use.used("m", "b", 0);
    assertTrue(use.mostUsed("m", 0).contains("b"));
  }
}
