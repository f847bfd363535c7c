package org.agatefield.model;

/** What is known about whether an upstream executed a request. Immutable. */
public enum RunState {
  /** It is proved that no upstream executed any part of the request. */
  NO,
  /** An upstream executed the request, at least in part. */
  YES,
  /** The request may or may not have been executed. */
  UNKNOWN
}
