package org.agatefield.model;

/** Whether an upstream executed a request, as far as known. Immutable. */
public enum RunState {
  /** It is proved that no upstream executed any part of the request. */
  NO,
  /** An upstream executed the request at least partly. */
  YES,
  /** The request may or may not have been executed. */
  UNKNOWN
}
