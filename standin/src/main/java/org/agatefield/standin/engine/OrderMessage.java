package org.agatefield.standin.engine;

/**
 * An order as received. Immutable.
 *
 * @param action the name of the action
 * @param version the engine name of the version
 * @param adapter the adapter's name; empty for orders about versions
 * @param memoryMegabytes memory that the version or adapter takes
 * @param fencingToken the order's fencing token; 0 for orders about adapters
 */
public record OrderMessage(
    OrderActionName action,
    String version,
    String adapter,
    long memoryMegabytes,
    long fencingToken) {

  /** The actions of an order. */
  public enum OrderActionName {
    /** Load a version. */
    LOAD_VERSION,
    /** Unload a version and its adapters. */
    UNLOAD_VERSION,
    /** Load an adapter of a loaded version. */
    LOAD_ADAPTER,
    /** Unload an adapter. */
    UNLOAD_ADAPTER,
    /** Raise the highest fencing token seen. */
    RAISE_FENCING_TOKEN
  }
}
