package org.agatefield.placement;

/** Stages in the life of a version on a runner. */
public enum LedgerState {
  /** Memory is reserved; an order to load may have been sent. Gets no requests. */
  LOADING,
  /** The engine reported the version loaded; it may get requests. */
  SERVING,
  /** The engine holds the version; new requests should go to other replicas. */
  DRAINING,
  /** An order to unload may have been sent. Gets no requests; its memory is still reserved. */
  UNLOADING,
  /**
   * The engine is proved to no longer hold the version. Takes no memory. The entry is retained
   * while an unfenced order for the earlier replica may still arrive: a new replica of the version
   * on this runner also reserves the memory of the earlier adapters, and waits if the engine
   * ignores fencing tokens.
   */
  RETIRED
}
