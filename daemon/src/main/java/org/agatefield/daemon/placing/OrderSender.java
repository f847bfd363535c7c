package org.agatefield.daemon.placing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.engine.EngineOrder;
import org.agatefield.engine.OrderAction;
import org.agatefield.engine.OrderResult;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.Upstream;
import org.agatefield.placement.PlannedOrder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends orders to engines, each only while the planner's lease is held.
 *
 * <p>A pause after the last check of the lease may delay an order beyond the lease; the ledger has
 * counted what the order loads before it was sent. Safe for use by any thread.
 */
final class OrderSender {
  private static final Logger LOGGER = LogManager.getLogger(OrderSender.class);

  private final PlacementContext parts;
  private final PlacementTimings terms;

  OrderSender(PlacementContext parts, PlacementTimings terms) {
    this.parts = parts;
    this.terms = terms;
  }

  /** Sends an order under the lease with that token; fails if nothing is known of its result. */
  CompletableFuture<OrderResult> send(Upstream runner, PlannedOrder order, long leaseToken) {
    Optional<LeaseGrant> grant = parts.lease().currentGrant();
    if (grant.filter(each -> each.fencingToken() == leaseToken).isEmpty()) {
      return CompletableFuture.failedFuture(new IllegalStateException("the lease is lost"));
    }
    parts.hook().reached(FailPoint.BEFORE_ORDER, runner.name());
    parts.metrics().counter("agatefield.placement.orders").inc();
    return parts
        .engines()
        .order(runner.address(), engineOrder(order))
        .orTimeout(terms.orderTimeout().toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((result, failure) -> log(runner, order, result, failure));
  }

  private static EngineOrder engineOrder(PlannedOrder order) {
    OrderAction action =
        switch (order.action()) {
          case LOAD -> OrderAction.LOAD_VERSION;
          case UNLOAD -> OrderAction.UNLOAD_VERSION;
          case RAISE_TOKEN -> OrderAction.RAISE_FENCING_TOKEN;
        };
    return new EngineOrder(
        action, order.version().engineName(), "", order.memoryMegabytes(), order.fencingToken());
  }

  private static void log(
      Upstream runner, PlannedOrder order, OrderResult result, Throwable failure) {
    LOGGER.info(
        "order action={} version={} upstream={} token={} result={} failure={}",
        order.action(),
        order.version(),
        runner.name(),
        order.fencingToken(),
        result,
        failure == null ? "none" : failure.toString());
  }
}
