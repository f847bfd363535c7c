package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.daemon.forward.OrdersInTransit.Unanswered;
import org.agatefield.daemon.leases.LeaseHandover;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Names to the next planner the runners that may still receive an order of this one.
 *
 * <p>Ages are passed on instead of times, as no two instances share a clock. Thread-safe.
 */
final class PlannerHandover implements LeaseHandover {
  private static final Logger LOGGER = LogManager.getLogger(PlannerHandover.class);
  private static final String ORDERS = "unansweredOrders";
  private static final String RUNNER = "runner";
  private static final String AGE = "ageMilliseconds";
  private static final String ACCEPTED_BEFORE = "acceptedBefore";
  private static final int MAXIMUM_RUNNERS = 512; // Several times the largest known fleet.

  private final OrdersInTransit inTransit;

  PlannerHandover(OrdersInTransit inTransit) {
    this.inTransit = inTransit;
  }

  @Override
  public Optional<JsonNode> describe() {
    List<Unanswered> orders = inTransit.unanswered(MonotonicClock.milliseconds());
    if (orders.isEmpty()) {
      return Optional.empty();
    }
    if (orders.size() > MAXIMUM_RUNNERS) {
      LOGGER.warn("handover runners={} maximum={}", orders.size(), MAXIMUM_RUNNERS);
    }
    ObjectNode content = JsonNodeFactory.instance.objectNode();
    ArrayNode named = content.putArray(ORDERS);
    orders.stream().limit(MAXIMUM_RUNNERS).forEach(order -> encode(order, named.addObject()));
    return Optional.of(content);
  }

  private static void encode(Unanswered order, ObjectNode target) {
    target.put(RUNNER, order.runner()).put(AGE, order.ageMilliseconds());
    order.acceptedBefore().ifPresent(count -> target.put(ACCEPTED_BEFORE, count));
  }

  @Override
  public void received(JsonNode content, Duration maximumAge) {
    List<Unanswered> orders = new ArrayList<>();
    for (JsonNode each : content.path(ORDERS)) {
      boolean usable = each.path(RUNNER).isTextual() && each.path(AGE).canConvertToLong();
      if (usable && orders.size() < MAXIMUM_RUNNERS) {
        long age = Math.max(0, each.path(AGE).asLong()) + maximumAge.toMillis();
        orders.add(new Unanswered(each.path(RUNNER).asText(), age, acceptedBefore(each)));
      }
    }
    inTransit.inherited(orders, MonotonicClock.milliseconds());
  }

  private static OptionalLong acceptedBefore(JsonNode order) {
    JsonNode count = order.path(ACCEPTED_BEFORE);
    return count.canConvertToLong() ? OptionalLong.of(count.asLong()) : OptionalLong.empty();
  }
}
