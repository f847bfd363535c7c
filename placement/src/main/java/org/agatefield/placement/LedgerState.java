package org.agatefield.placement;

/** How far a version on a runner has come. */
public enum LedgerState {
  /** Memory is reserved; an order to load may have been sent. Not given requests. */
  LOADING,
  /** The engine reported the version loaded; it may be given requests. */
  SERVING,
  /** The engine holds the version; new requests should go elsewhere. */
  DRAINING,
  /** An order to unload may have been sent. Not given requests; its memory is still reserved. */
  UNLOADING,
  /**
   * The engine proved that it no longer holds the version. Takes no memory; kept as long as an
   * unfenced order for the earlier replica may still arrive: a new replica of the version on this
   * runner reserves the memory of the earlier adapters too, and waits if the engine ignores fencing
   * tokens.
   */
  RETIRED
}
