package org.agatefield.daemon.http;

import io.vertx.core.Future;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.model.AgatefieldException;

/**
 * Writes a model's answer to the caller.
 *
 * <p>Invariant: only {@link #succeed()} writes the end of a successful answer, so that callers can
 * distinguish an answer that failed midway from a complete one. Confined to the context of the
 * request.
 */
interface CallerAnswer {
  /** Accepts the next part from the current attempt. */
  void accept(EngineAnswerPart part);

  /** Discards the withheld parts of an attempt that failed; parts that were written remain. */
  void attemptFailed();

  /** Returns the number of tokens written so far. */
  int writtenTokens();

  /**
   * Returns whether the write queue is full because the caller reads more slowly than parts arrive.
   */
  boolean isFull();

  /** Runs {@code action} once the write queue has drained. */
  void onDrained(Runnable action);

  /** Ends a complete answer; the result completes when all of it is written to the connection. */
  Future<Void> succeed();

  /** Ends with an explicit error; the result completes when it is written to the connection. */
  Future<Void> fail(AgatefieldException failure);
}
