package org.agatefield.engine;

/** Why an engine refused a request. */
public enum EngineRefusalReason {
  /** The adapter is not loaded; its base version may be. */
  ADAPTER_NOT_LOADED,
  /** The version is not loaded. */
  VERSION_NOT_LOADED,
  /** The engine has more work than it takes. */
  OVERLOADED,
  /** The request breaks a rule of the engine. */
  INVALID
}
