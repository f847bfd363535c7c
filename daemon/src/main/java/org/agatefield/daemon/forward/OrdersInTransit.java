package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks orders without a response, which may still arrive at their runner.
 *
 * <p>The network may hold an order while it has no path to the runner and deliver it later, even if
 * its connection was closed meanwhile. The order is then retransmitted at intervals that double, so
 * that its delay after the path is back is at most as long as the time that it was held. Whether
 * the path is back is known by a response. A runner accepts an order only if it states how many
 * orders were accepted before, so that the next count shows that the only order without a response
 * has arrived. Invariant: an order counts until its response arrives, it is known to have arrived
 * or it can no longer be delivered. Includes the orders of earlier planners, as far as these have
 * named their runners. Times are those of a monotonic clock in milliseconds. Thread-safe.
 */
final class OrdersInTransit {
  /** Longer than any known partition, for runners that never respond again. */
  static final long MAXIMUM_AGE_MILLISECONDS = 60_000;

  /** The longest interval before the first retransmission. */
  static final long FIRST_RETRANSMISSION_MILLISECONDS = 500;

  // Lower than the token of any grant.
  private static final long TOKEN_OF_EARLIER_PLANNERS = 0;

  private final Map<String, Transit> runners = new HashMap<>();
  private long lastNumber;

  /**
   * The oldest order to a runner that has no response. Immutable.
   *
   * @param runner the runner's identifier
   * @param ageMilliseconds how long ago it was sent
   * @param acceptedBefore how many orders it expects to have been accepted before, if it is the
   *     only one that the runner may accept
   */
  record Unanswered(String runner, long ageMilliseconds, OptionalLong acceptedBefore) {}

  private record Sent(long fencingToken, long at, OptionalLong acceptedBefore, boolean arrived) {
    /** Returns the order as one of several, whose arrival no count can show. */
    Sent amongOthers() {
      return new Sent(fencingToken, at, OptionalLong.empty(), arrived);
    }

    /** Returns the order with what is known now of its arrival, for when contact is lost. */
    Sent asOf(OptionalLong respondsSince, long now) {
      return new Sent(fencingToken, at, acceptedBefore, !mayArrive(respondsSince, now));
    }

    /** Returns whether the runner may still execute the order, even if it has arrived. */
    boolean mayTakeEffect(long now) {
      return now - at <= OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS;
    }

    boolean mayArrive(OptionalLong respondsSince, long now) {
      if (arrived) {
        return false;
      }
      if (respondsSince.isEmpty() || respondsSince.getAsLong() < at) {
        return now - at <= MAXIMUM_AGE_MILLISECONDS;
      }
      long held = respondsSince.getAsLong() - at;
      return now - respondsSince.getAsLong() <= held + FIRST_RETRANSMISSION_MILLISECONDS;
    }
  }

  /** The orders to one runner. Guarded by the lock of the object that holds it. */
  private static final class Transit {
    private final Map<Long, Sent> orders = new HashMap<>();
    // Since when every call has been responded to; empty if that is not known.
    private OptionalLong respondsSince = OptionalLong.empty();

    private void removeDelivered(long now) {
      orders
          .values()
          .removeIf(order -> !order.mayArrive(respondsSince, now) && !order.mayTakeEffect(now));
    }

    private void contactUnknown(long now) {
      orders.replaceAll((number, order) -> order.asOf(respondsSince, now));
      respondsSince = OptionalLong.empty();
    }

    private Optional<Sent> oldest(long now) {
      return orders.values().stream()
          .filter(order -> order.mayArrive(respondsSince, now))
          .min(Comparator.comparingLong(Sent::at));
    }
  }

  /**
   * Records that an order is being sent.
   *
   * @param acceptedBefore how many orders it expects to have been accepted before
   * @return the number of this copy of the order
   */
  synchronized long sent(String runner, long fencingToken, long acceptedBefore, long now) {
    return add(runner, new Sent(fencingToken, now, OptionalLong.of(acceptedBefore), false), now);
  }

  private long add(String runner, Sent order, long now) {
    lastNumber++;
    Transit transit = runners.computeIfAbsent(runner, ignored -> new Transit());
    transit.removeDelivered(now);
    transit.orders.replaceAll((number, other) -> other.amongOthers());
    transit.orders.put(lastNumber, transit.orders.isEmpty() ? order : order.amongOthers());
    return lastNumber;
  }

  /** Records the response to an order, whatever it says. */
  synchronized void answered(String runner, long number, long now) {
    Transit transit = runners.get(runner);
    if (transit != null) {
      transit.orders.remove(number);
      responded(runner, now);
    }
  }

  /** Records that an order was not sent, since no connection to its runner could be opened. */
  synchronized void notSent(String runner, long number, long now) {
    Transit transit = runners.get(runner);
    if (transit != null) {
      transit.orders.remove(number);
      transit.contactUnknown(now);
    }
  }

  /** Records that a runner responded to a call. */
  synchronized void responded(String runner, long now) {
    Transit transit = runners.get(runner);
    if (transit == null) {
      return;
    }
    if (transit.respondsSince.isEmpty()) {
      transit.respondsSince = OptionalLong.of(now);
    }
    transit.removeDelivered(now);
    if (transit.orders.isEmpty()) {
      runners.remove(runner);
    }
  }

  /** Records how many orders a runner says that it has accepted. */
  synchronized void acceptedOrdersReported(String runner, long count) {
    Transit transit = runners.get(runner);
    if (transit == null) {
      return;
    }
    transit
        .orders
        .values()
        .removeIf(
            order ->
                order.acceptedBefore().isPresent() && order.acceptedBefore().getAsLong() < count);
  }

  /** Returns whether the count of a runner may show that an order has arrived. */
  synchronized boolean awaitsCount(String runner, long now) {
    Transit transit = runners.get(runner);
    return transit != null
        && transit.orders.values().stream()
            .filter(order -> order.acceptedBefore().isPresent())
            .anyMatch(order -> order.mayArrive(transit.respondsSince, now));
  }

  /** Records that a call to a runner had no response. */
  synchronized void notAnswered(String runner, long now) {
    Transit transit = runners.get(runner);
    if (transit != null) {
      transit.contactUnknown(now);
    }
  }

  /** Records that this instance begins to plan, so that what it knows of runners is outdated. */
  synchronized void planningBegins(long now) {
    runners.values().forEach(transit -> transit.contactUnknown(now));
  }

  /**
   * Records the orders to which earlier planners have no response. Replaces those that were
   * recorded before.
   */
  synchronized void inherited(List<Unanswered> orders, long now) {
    runners
        .values()
        .forEach(
            transit ->
                transit
                    .orders
                    .values()
                    .removeIf(order -> order.fencingToken() == TOKEN_OF_EARLIER_PLANNERS));
    for (Unanswered order : orders) {
      long sentAt = now - order.ageMilliseconds();
      add(
          order.runner(),
          new Sent(TOKEN_OF_EARLIER_PLANNERS, sentAt, order.acceptedBefore(), false),
          now);
    }
  }

  /** Returns whether an order of an earlier grant than the given one may still arrive. */
  synchronized boolean mayReceiveEarlierOrder(String runner, long fencingToken, long now) {
    Transit transit = runners.get(runner);
    return transit != null
        && transit.orders.values().stream()
            .filter(order -> order.fencingToken() < fencingToken)
            .anyMatch(order -> order.mayArrive(transit.respondsSince, now));
  }

  /** Returns the oldest order to each runner to which one may still arrive, the oldest first. */
  synchronized List<Unanswered> unanswered(long now) {
    runners.values().forEach(transit -> transit.removeDelivered(now));
    runners.values().removeIf(transit -> transit.orders.isEmpty());
    List<Unanswered> oldest = new ArrayList<>();
    runners.forEach(
        (runner, transit) ->
            transit
                .oldest(now)
                .map(order -> new Unanswered(runner, now - order.at(), order.acceptedBefore()))
                .ifPresent(oldest::add));
    oldest.sort(Comparator.comparingLong(Unanswered::ageMilliseconds).reversed());
    return oldest;
  }
}
