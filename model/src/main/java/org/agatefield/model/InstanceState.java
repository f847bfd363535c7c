package org.agatefield.model;

/** Whether an entry instance takes new work, as it says of itself. */
public enum InstanceState {
  /** Takes new requests and is offered to callers. */
  LIVE,
  /** Finishes what it has and is no longer offered to callers. */
  LEAVING
}
