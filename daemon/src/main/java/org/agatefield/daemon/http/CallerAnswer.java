package org.agatefield.daemon.http;

import io.vertx.core.Future;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.model.AgatefieldException;

/**
 * Writes the answer of a model to its caller.
 *
 * <p>Invariant: the end of a success is written only by {@link #succeed()}; an answer that has
 * begun and fails can be told from a whole one. Confined to the context of the request.
 */
interface CallerAnswer {
  /** Takes the next part of the current attempt. */
  void accept(EngineAnswerPart part);

  /** Forgets what was held back of an attempt that failed; what was written stays. */
  void attemptFailed();

  /** Returns the number of tokens that were written. */
  int writtenTokens();

  /** Returns whether the caller reads slower than the parts come. */
  boolean isFull();

  /** Calls {@code action} once the caller has read enough. */
  void onDrained(Runnable action);

  /** Ends the whole answer; completes when all of it is written to the connection. */
  Future<Void> succeed();

  /** Ends with an explicit error; completes when it is written to the connection. */
  Future<Void> fail(AgatefieldException failure);
}
