package org.agatefield.engine;

/** A running generation. Safe for use by any thread. */
public interface EngineCall {
  /** Ends the generation at the engine; the listener hears nothing more. */
  void cancel();

  /** Stops reading the answer until {@link #resume()}. */
  void pause();

  /** Goes on reading the answer. */
  void resume();
}
