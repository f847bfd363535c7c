package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class LateOrdersTest {
  private final LateOrders late = new LateOrders();

  @Test
  void orderWithoutAnswerCountsInTheNextLifeUntilItCanNoLongerTakeEffect() {
    late.unanswered("m1", 1_000);
    assertEquals(Set.of(), late.models(1_000));
    late.newLife();
    assertEquals(Set.of("m1"), late.models(1_000 + LateOrders.LATE_MILLISECONDS));
    assertEquals(Set.of(), late.models(1_001 + LateOrders.LATE_MILLISECONDS));
  }

  @Test
  void adaptersAreCountedApartFromModels() {
    late.unanswered("m1/a1", 0);
    late.unanswered("m2", 0);
    late.newLife();
    assertEquals(1, late.adapters(1));
    assertEquals(Set.of("m2"), late.models(1));
  }

  @Test
  void secondRestartKeepsWhatThePreviousOneLeft() {
    late.unanswered("m1", 0);
    late.newLife();
    late.unanswered("m2", 100);
    late.newLife();
    assertEquals(Set.of("m1", "m2"), late.models(200));
  }
}
