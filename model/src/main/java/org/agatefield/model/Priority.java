package org.agatefield.model;

/** Priorities of requests, lowest first; excess requests of lower priority are refused first. */
public enum Priority {
  /** Requests that may wait. */
  BATCH,
  /** The default priority. */
  STANDARD,
  /** A person is waiting. */
  INTERACTIVE
}
