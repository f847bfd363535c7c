package org.agatefield.engine;

/** A running generation. Safe for use by any thread. */
public interface EngineCall {
  /** Cancels the generation at the engine; the listener is not called again. */
  void cancel();

  /** Stops reading the response until {@link #resume()}. */
  void pause();

  /** Continues reading the response. */
  void resume();
}
