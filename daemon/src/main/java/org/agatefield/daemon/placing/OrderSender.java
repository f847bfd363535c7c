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
 * Sends orders to engines while this instance holds the planner's lease.
 *
 * <p>A pause of the process after the last lease check may delay an order beyond the end of the
 * lease. This is safe because the ledger reserves the memory for a load before the order is sent.
 * Thread-safe.
 */
final class OrderSender {
  private static final Logger LOGGER = LogManager.getLogger(OrderSender.class);

  private final PlacementContext placementContext;
  private final PlacementTimings timings;

  OrderSender(PlacementContext placementContext, PlacementTimings timings) {
    this.placementContext = placementContext;
    this.timings = timings;
  }

  /** Sends an order under the lease with the given token; fails if its result is unknown. */
  CompletableFuture<OrderResult> send(Upstream runner, PlannedOrder order, long leaseToken) {
    Optional<LeaseGrant> grant = placementContext.currentGrant();
    if (grant.filter(each -> each.fencingToken() == leaseToken).isEmpty()) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("the planner's lease was lost"));
    }
    placementContext.hook().reached(FailPoint.BEFORE_ORDER, runner.name());
    placementContext.metrics().counter("agatefield.placement.orders").inc();
    return placementContext
        .engines()
        .order(runner.address(), engineOrder(order))
        .orTimeout(timings.orderTimeout().toMillis(), TimeUnit.MILLISECONDS)
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
