package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PlannerHandoverTest {
  private static final long TOKEN = 7;

  private final OrdersInTransit sent = new OrdersInTransit();
  private final OrdersInTransit learnt = new OrdersInTransit();
  private final PlannerHandover successor = new PlannerHandover(learnt);

  private boolean mayReceiveEarlierOrder(String runner) {
    return learnt.mayReceiveEarlierOrder(runner, TOKEN, MonotonicClock.milliseconds());
  }

  @Test
  void planWithoutUnansweredOrdersHasNothingToHandOver() {
    assertEquals(Optional.empty(), new PlannerHandover(sent).describe());
  }

  @Test
  void successorLearnsWhichRunnersMayStillReceiveOrders() {
    sent.sent("r", 1, 0, MonotonicClock.milliseconds());
    successor.received(new PlannerHandover(sent).describe().orElseThrow(), Duration.ZERO);
    assertTrue(mayReceiveEarlierOrder("r"));
    assertFalse(mayReceiveEarlierOrder("other"));
  }

  @Test
  void ageOfTheHandoverCountsAsAgeOfItsOrders() {
    sent.sent("r", 1, 0, MonotonicClock.milliseconds());
    Duration age = Duration.ofSeconds(3);
    successor.received(new PlannerHandover(sent).describe().orElseThrow(), age);
    long now = MonotonicClock.milliseconds();
    assertTrue(learnt.unanswered(now).get(0).ageMilliseconds() >= age.toMillis());
  }

  @Test
  void leaseWithoutHandoverEndsWhatWasLearntBefore() {
    sent.sent("r", 1, 0, MonotonicClock.milliseconds());
    successor.received(new PlannerHandover(sent).describe().orElseThrow(), Duration.ZERO);
    successor.received(MissingNode.getInstance(), Duration.ZERO);
    assertFalse(mayReceiveEarlierOrder("r"));
  }

  @Test
  void unusableEntriesAreIgnored() throws Exception {
    JsonNode content =
        new ObjectMapper()
            .readTree(
                "{\"unansweredOrders\":[7,{\"runner\":\"a\"},{\"runner\":3,\"ageMilliseconds\":1},"
                    + "{\"runner\":\"b\",\"ageMilliseconds\":-5}]}");
    successor.received(content, Duration.ZERO);
    assertFalse(mayReceiveEarlierOrder("a"));
    assertTrue(mayReceiveEarlierOrder("b"));
  }
}
