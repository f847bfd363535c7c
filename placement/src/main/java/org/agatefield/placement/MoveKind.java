package org.agatefield.placement;

/** What a placement policy may ask for. */
public enum MoveKind {
  /** Reserve memory on a runner and load a version there. */
  LOAD,
  /** Reserve memory for further adapters beside a version. */
  RESERVE_ADAPTERS,
  /** Send no new requests to a replica, to unload it later. */
  DRAIN,
  /** Send requests to a draining replica again. */
  SERVE_AGAIN,
  /** Unload a drained replica. */
  UNLOAD
}
