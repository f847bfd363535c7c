package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class OutstandingOrdersTest {
  private final OutstandingOrders late = new OutstandingOrders();

  @Test
  void orderWithoutAnswerCountsInTheNextLifeUntilItCanNoLongerTakeEffect() {
    late.sent("m1", 1_000);
    assertEquals(Set.of(), late.models(1_000));
    late.newLife();
    assertEquals(Set.of("m1"), late.models(1_000 + OutstandingOrders.LATE_MILLISECONDS));
    assertEquals(Set.of(), late.models(1_001 + OutstandingOrders.LATE_MILLISECONDS));
  }

  @Test
  void adaptersAreCountedApartFromModels() {
    late.sent("m1/a1", 0);
    late.sent("m2", 0);
    late.newLife();
    assertEquals(1, late.adapters(1));
    assertEquals(Set.of("m2"), late.models(1));
  }

  @Test
  void secondRestartKeepsWhatThePreviousOneLeft() {
    late.sent("m1", 0);
    late.newLife();
    late.sent("m2", 100);
    late.newLife();
    assertEquals(Set.of("m1", "m2"), late.models(200));
  }

  @Test
  void orderThatWasAnsweredNoLongerCountsThoughTheAnswerCameInTheNextLife() {
    late.sent("m1", 0);
    late.sent("m2", 0);
    late.answered("m1");
    late.newLife();
    late.answered("m2");
    assertEquals(Set.of(), late.models(1));
  }

  @Test
  void ordersOutliveTheEntryOfTheirRunner() {
    OutstandingOrdersByRunner byRunner = new OutstandingOrdersByRunner();
    byRunner.of("r").sent("m1", 0);
    byRunner.gone("r");
    byRunner.forget(runner -> false, 5_000);
    assertEquals(Set.of("m1"), byRunner.of("r").models(5_000));
    byRunner.forget(runner -> false, 1 + OutstandingOrders.LATE_MILLISECONDS);
    assertEquals(Set.of(), byRunner.of("r").models(1 + OutstandingOrders.LATE_MILLISECONDS));
  }
}
