package org.agatefield.store;

/** The reasons for which a call of the object store fails. */
public enum StoreFailure {
  /** An object of that name exists; a create had no effect. */
  ALREADY_EXISTS,
  /** The object's version is not the expected one; the write had no effect. */
  CONFLICT,
  /** No object of that name exists. */
  NOT_FOUND,
  /**
   * The object exceeds the store's limit of one megabyte and the write had no effect; or the
   * response to a read is larger than is read.
   */
  TOO_LARGE,
  /** The store refused the call or is unreachable; the call had no effect and never will. */
  UNAVAILABLE,
  /** No response was received: a write may have taken effect or may still do so. */
  UNKNOWN_RESULT,
  /**
   * The store has come back older since the content that the write was to replace was read; the
   * write may have replaced another content.
   */
  HISTORY_LOST,
  /** The version requested by a watch or list is no longer available; list again. */
  VERSION_GONE
}
