package org.agatefield.engine;

/** The reasons for which an engine refuses a request. */
public enum EngineRefusalReason {
  /** The adapter is not loaded; its base version may be. */
  ADAPTER_NOT_LOADED,
  /** The version is not loaded. */
  VERSION_NOT_LOADED,
  /** The engine is at its capacity limit. */
  OVERLOADED,
  /** The request is invalid for the engine. */
  INVALID
}
