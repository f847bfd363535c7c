package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdapterUseTest {
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
}
