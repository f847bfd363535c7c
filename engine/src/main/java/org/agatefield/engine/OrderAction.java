package org.agatefield.engine;

/** What an engine is ordered to do. */
public enum OrderAction {
  /** Load a version of a deployment. */
  LOAD_VERSION,
  /** Unload a version and the adapters that extend it. */
  UNLOAD_VERSION,
  /** Load an adapter beside a loaded version; refused if the version is not loaded. */
  LOAD_ADAPTER,
  /** Unload an adapter. */
  UNLOAD_ADAPTER,
  /** Change nothing but the highest fencing token that the engine has seen. */
  RAISE_FENCING_TOKEN
}
