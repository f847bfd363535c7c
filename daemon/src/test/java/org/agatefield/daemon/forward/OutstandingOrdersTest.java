package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OutstandingOrdersTest {
  private final OutstandingOrders orders = new OutstandingOrders();

  @Test
  void unansweredOrderCountsAfterRestartUntilItCanNoLongerTakeEffect() {
    orders.sent("m1", 1_000);
    assertEquals(Set.of(), orders.models(1_000));
    orders.runnerRestarted();
    assertEquals(Set.of("m1"), orders.models(1_000 + OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS));
    assertEquals(Set.of(), orders.models(1_001 + OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS));
  }

  @Test
  void adaptersAreCountedSeparatelyFromModels() {
    orders.sent("m1/a1", 0);
    orders.sent("m2", 0);
    orders.runnerRestarted();
    assertEquals(1, orders.adapters(1));
    assertEquals(Set.of("m2"), orders.models(1));
  }

  @Test
  void secondRestartRetainsTheOrdersFromBeforeTheFirst() {
    orders.sent("m1", 0);
    orders.runnerRestarted();
    orders.sent("m2", 100);
    orders.runnerRestarted();
    assertEquals(Set.of("m1", "m2"), orders.models(200));
  }

  @Test
  void answeredOrderNoLongerCountsEvenIfTheResponseArrivedAfterTheRestart() {
    final long first = orders.sent("m1", 0);
    final long second = orders.sent("m2", 0);
    orders.answered(first);
    orders.runnerRestarted();
    orders.answered(second);
    assertEquals(Set.of(), orders.models(1));
  }

  @Test
  void ordersOutliveTheRunnerEntry() {
    OutstandingOrdersByRunner byRunner = new OutstandingOrdersByRunner();
    byRunner.of("r").sent("m1", 0);
    byRunner.runnerRemoved("r");
    byRunner.forget(runner -> false, 5_000);
    assertEquals(Set.of("m1"), byRunner.of("r").models(5_000));
    byRunner.forget(runner -> false, 1 + OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS);
    assertEquals(
        Set.of(), byRunner.of("r").models(1 + OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS));
  }

  /** Guards against a late first copy of an order whose second copy was answered (review/3). */
  @Test
  void answerToOneCopyOfAnOrderLeavesTheOtherCopyOutstanding() {
    orders.sent("m1", 0);
    orders.answered(orders.sent("m1", 400));
    orders.runnerRestarted();
    orders.answered(orders.sent("m1", 2_000));
    assertEquals(Set.of("m1"), orders.models(OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS));
    assertEquals(Set.of(), orders.models(1 + OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS));
  }

  /** Guards against a late order of the planner before this one (review/4). */
  @Test
  void restartedRunnerMayReceiveOrdersOfEarlierPlannerUntilTheyCanNoLongerTakeEffect() {
    OutstandingOrdersByRunner byRunner = new OutstandingOrdersByRunner();
    long delay = OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS;
    byRunner.tookOver(1_000);
    assertFalse(byRunner.mayReceiveUnknownOrder(OptionalLong.empty(), 1_000));
    assertTrue(byRunner.mayReceiveUnknownOrder(OptionalLong.of(500), 500 + delay));
    assertFalse(byRunner.mayReceiveUnknownOrder(OptionalLong.of(500), 501 + delay));
    assertTrue(byRunner.mayReceiveUnknownOrder(OptionalLong.of(4_000), 1_000 + delay));
    assertFalse(byRunner.mayReceiveUnknownOrder(OptionalLong.of(4_000), 1_001 + delay));
  }
}
