package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.agatefield.model.WeightStoreLimits;
import org.junit.jupiter.api.Test;

class LoadBudgetTest {
  private static final WeightStoreLimits LIMITS = new WeightStoreLimits(10, 3, 24);
  private static final long MILLISECOND_NANOSECONDS = 1_000_000;

  @Test
  void loadsAfterPauseStayWithinRateAndBurst() {
    LoadBudget budget = LoadBudget.startingAt(0);
    int started = 0;
    for (int millisecond = 60_000; millisecond <= 65_000; millisecond += 50) {
      budget = budget.refill(LIMITS, millisecond * MILLISECOND_NANOSECONDS);
      while (budget.available() > 0) {
        budget = budget.take();
        started++;
      }
    }
    assertTrue(started <= 10 * 5 + 3, "loads " + started);
  }

  @Test
  void loadThatDidNotStartIsAllowedAgain() {
    LoadBudget budget = LoadBudget.startingAt(0).take();
    assertEquals(0, budget.available());
    assertEquals(1, budget.giveBack().available());
  }
}
