package org.agatefield.engine;

import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Signals that an engine refused a request without executing it. Immutable. */
public final class EngineRefusal extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  private final EngineRefusalReason reason;

  EngineRefusal(ErrorKind kind, EngineRefusalReason reason, String message) {
    super(kind, message);
    this.reason = reason;
  }

  /** Returns why the engine refused. */
  public EngineRefusalReason reason() {
    return reason;
  }
}
