package org.agatefield.placement;

/** Kinds of moves that a placement policy may plan. */
public enum MoveKind {
  /** Reserve memory on a runner and load a version there. */
  LOAD,
  /** Reserve memory for further adapters beside a version. */
  RESERVE_ADAPTERS,
  /** Send no new requests to a replica so that it can be unloaded later. */
  DRAIN,
  /** Send requests to a draining replica again. */
  SERVE_AGAIN,
  /** Unload a drained replica. */
  UNLOAD
}
