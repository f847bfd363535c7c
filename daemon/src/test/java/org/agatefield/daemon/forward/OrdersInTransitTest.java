package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.agatefield.daemon.forward.OrdersInTransit.Unanswered;
import org.junit.jupiter.api.Test;

class OrdersInTransitTest {
  private static final long COUNT = 5;
  private static final long MARGIN = OrdersInTransit.FIRST_RETRANSMISSION_MILLISECONDS;

  private final OrdersInTransit orders = new OrdersInTransit();

  private static Unanswered unanswered(String runner, long age) {
    return new Unanswered(runner, age, OptionalLong.of(COUNT));
  }

  private static Unanswered oneOfMany(String runner, long age) {
    return new Unanswered(runner, age, OptionalLong.empty());
  }

  private void sendUnanswered(String runner, long now) {
    orders.sent(runner, 1, COUNT, now);
    orders.notAnswered(runner, now);
  }

  @Test
  void answeredOrderCanNoLongerArrive() {
    orders.answered("r", orders.sent("r", 1, COUNT, 0), 10);
    assertEquals(List.of(), orders.unanswered(10));
  }

  @Test
  void orderThatWasNeverSentCannotArrive() {
    orders.notSent("r", orders.sent("r", 1, COUNT, 0), 5);
    assertEquals(List.of(), orders.unanswered(10));
  }

  @Test
  void unansweredOrderMayArriveForAsLongAfterContactAsItWasHeld() {
    sendUnanswered("r", 0);
    orders.responded("r", 2_000);
    assertEquals(List.of(unanswered("r", 4_000 + MARGIN)), orders.unanswered(4_000 + MARGIN));
    assertEquals(List.of(), orders.unanswered(4_001 + MARGIN));
  }

  @Test
  void contactCountsFromTheLastSilence() {
    sendUnanswered("r", 0);
    orders.responded("r", 2_000);
    orders.notAnswered("r", 2_500);
    orders.responded("r", 3_000);
    assertEquals(1, orders.unanswered(6_000 + MARGIN).size());
    assertEquals(List.of(), orders.unanswered(6_001 + MARGIN));
  }

  @Test
  void laterContactDoesNotExtendTheTime() {
    sendUnanswered("r", 0);
    orders.responded("r", 2_000);
    orders.responded("r", 3_500);
    assertEquals(List.of(), orders.unanswered(4_001 + MARGIN));
  }

  @Test
  void answerToLaterOrderSaysNothingOfAnEarlierOne() {
    sendUnanswered("r", 0);
    orders.answered("r", orders.sent("r", 1, COUNT, 1_000), 1_010);
    assertEquals(List.of(oneOfMany("r", 1_500)), orders.unanswered(1_500));
  }

  @Test
  void oldestOrderOfEachRunnerIsNamedTheOldestFirst() {
    sendUnanswered("new", 500);
    sendUnanswered("old", 100);
    sendUnanswered("new", 900);
    assertEquals(List.of(unanswered("old", 900), oneOfMany("new", 500)), orders.unanswered(1_000));
  }

  @Test
  void ordersToRunnerThatNeverRespondsAreForgottenInTime() {
    sendUnanswered("r", 0);
    assertEquals(1, orders.unanswered(OrdersInTransit.MAXIMUM_AGE_MILLISECONDS).size());
    assertEquals(List.of(), orders.unanswered(OrdersInTransit.MAXIMUM_AGE_MILLISECONDS + 1));
  }

  @Test
  void orderOfEarlierGrantMayArriveUntilItsTimeAfterContactIsOver() {
    sendUnanswered("r", 0);
    assertFalse(orders.mayReceiveEarlierOrder("r", 1, 1_000), "an order of the same grant");
    assertFalse(orders.mayReceiveEarlierOrder("other", 2, 1_000));
    assertTrue(orders.mayReceiveEarlierOrder("r", 2, 1_000));
    orders.responded("r", 2_000);
    assertTrue(orders.mayReceiveEarlierOrder("r", 2, 4_000 + MARGIN));
    assertFalse(orders.mayReceiveEarlierOrder("r", 2, 4_001 + MARGIN));
  }

  /** Guards against a successor's order that overtakes one of its predecessor (review/11). */
  @Test
  void inheritedOrderIsOlderThanEachGrantAndIsHandedOnWithItsAge() {
    orders.inherited(List.of(unanswered("r", 2_000)), 5_000);
    assertTrue(orders.mayReceiveEarlierOrder("r", 1, 5_000));
    assertEquals(List.of(unanswered("r", 3_000)), orders.unanswered(6_000));
    orders.responded("r", 7_000);
    assertTrue(orders.mayReceiveEarlierOrder("r", 1, 11_000 + MARGIN));
    assertFalse(orders.mayReceiveEarlierOrder("r", 1, 11_001 + MARGIN));
  }

  @Test
  void newerHandoverReplacesInheritedOrdersButNotThoseOfThisInstance() {
    sendUnanswered("own", 0);
    orders.inherited(List.of(unanswered("old", 10)), 100);
    orders.inherited(List.of(unanswered("new", 10)), 200);
    assertEquals(List.of(unanswered("own", 300), unanswered("new", 110)), orders.unanswered(300));
  }

  @Test
  void contactFromBeforePlanningDoesNotCount() {
    sendUnanswered("r", 0);
    orders.responded("r", 500);
    orders.planningBegins(900);
    assertTrue(orders.mayReceiveEarlierOrder("r", 2, 5_000));
    orders.responded("r", 6_000);
    assertTrue(orders.mayReceiveEarlierOrder("r", 2, 12_000));
  }

  @Test
  void nextCountShowsThatTheOnlyUnansweredOrderHasArrived() {
    orders.inherited(List.of(unanswered("r", 2_000)), 5_000);
    orders.responded("r", 6_000);
    orders.acceptedOrdersReported("r", COUNT);
    assertTrue(orders.mayReceiveEarlierOrder("r", 1, 6_000));
    assertTrue(orders.awaitsCount("r", 6_000));
    orders.acceptedOrdersReported("r", COUNT + 1);
    assertFalse(orders.mayReceiveEarlierOrder("r", 1, 6_000));
    assertFalse(orders.awaitsCount("r", 6_000));
  }

  @Test
  void countSaysNothingOfSeveralUnansweredOrders() {
    sendUnanswered("r", 0);
    sendUnanswered("r", 400);
    orders.acceptedOrdersReported("r", COUNT + 1);
    assertEquals(List.of(oneOfMany("r", 1_000)), orders.unanswered(1_000));
    assertFalse(orders.awaitsCount("r", 1_000));
  }

  /** An order that has arrived may be executed late and raise the count in place of another. */
  @Test
  void countSaysNothingWhileAnEarlierOrderMayStillTakeEffect() {
    sendUnanswered("r", 0);
    orders.responded("r", 400);
    assertEquals(List.of(), orders.unanswered(2_000));
    sendUnanswered("r", 3_000);
    orders.acceptedOrdersReported("r", COUNT + 1);
    assertEquals(List.of(oneOfMany("r", 1_000)), orders.unanswered(4_000));
  }
}
