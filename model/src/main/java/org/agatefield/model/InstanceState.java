package org.agatefield.model;

/** Whether an entry instance accepts new requests, as reported by itself. */
public enum InstanceState {
  /** Accepts new requests and is announced to callers. */
  LIVE,
  /** Finishes its running requests and is no longer announced to callers. */
  LEAVING
}
