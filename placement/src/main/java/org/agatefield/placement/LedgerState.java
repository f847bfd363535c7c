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
   * adapter load that was ordered for the earlier replica may still arrive, so that a new replica
   * of the version on this runner reserves the memory of those adapters too.
   */
  RETIRED
}
