package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class LearntLimitTest {
  @Property(tries = 300, seed = "5005")
  void limitStaysBetweenItsBounds(
      @ForAll @Size(max = 300) List<@IntRange(max = 2) Integer> events,
      @ForAll @IntRange(max = 80) int count) {
    LearntLimit limit = new LearntLimit(2, 8, 64);
    for (int event : events) {
      if (event == 0) {
        limit.succeeded(count, count / 80.0);
      } else if (event == 1) {
        limit.rejected();
      } else {
        limit.reported(count, count);
      }
      assertTrue(limit.limit() >= 2 && limit.limit() <= 64);
    }
  }
}
