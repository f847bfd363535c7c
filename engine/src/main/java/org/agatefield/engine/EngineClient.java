package org.agatefield.engine;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;
import org.agatefield.model.LoadReport;

/** A client of model engines. Safe for use by any thread; futures may complete on any thread. */
public interface EngineClient {
  /** Requests the load report of an engine. */
  CompletableFuture<LoadReport> loadReport(Address engine);

  /**
   * Sends an order and waits for its result.
   *
   * <p>If the future fails with {@link org.agatefield.model.AgatefieldException}, the order may
   * still take effect unless the run state is {@code NO}.
   */
  CompletableFuture<OrderResult> order(Address engine, EngineOrder order);

  /** Starts a generation, whose response is passed to {@code listener} part by part. */
  EngineCall generate(Address engine, EngineRequest request, EngineAnswerListener listener);
}
