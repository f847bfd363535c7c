package org.agatefield.engine;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;
import org.agatefield.model.LoadReport;

/** A client of model engines. Safe for use by any thread; futures may complete on any thread. */
public interface EngineClient {
  /** Reads what an engine says of itself. */
  CompletableFuture<LoadReport> loadReport(Address engine);

  /**
   * Sends an order and waits for its result.
   *
   * <p>A future that fails with {@link org.agatefield.model.AgatefieldException} says nothing about
   * the order unless its run state is {@code NO}: the order may yet take effect.
   */
  CompletableFuture<OrderResult> order(Address engine, EngineOrder order);

  /** Starts a generation; its answer goes to {@code listener} part by part. */
  EngineCall generate(Address engine, EngineRequest request, EngineAnswerListener listener);
}
