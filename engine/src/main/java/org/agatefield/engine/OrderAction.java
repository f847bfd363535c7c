package org.agatefield.engine;

/** The actions of orders to an engine. */
public enum OrderAction {
  /** Load a version of a deployment. */
  LOAD_VERSION,
  /** Unload a version and the adapters that extend it. */
  UNLOAD_VERSION,
  /** Load an adapter of a loaded version; refused if the version is not loaded. */
  LOAD_ADAPTER,
  /** Unload an adapter. */
  UNLOAD_ADAPTER,
  /** Raise the highest fencing token that the engine has received, without any other change. */
  RAISE_FENCING_TOKEN
}
