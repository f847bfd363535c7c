package org.agatefield.store;

/** Why a call of the object store failed. */
public enum StoreFailure {
  /** An object of that name exists; a create had no effect. */
  ALREADY_EXISTS,
  /** The object's version is not the expected one; the write had no effect. */
  CONFLICT,
  /** No object of that name exists. */
  NOT_FOUND,
  /** The object exceeds the store's limit of one megabyte; the write had no effect. */
  TOO_LARGE,
  /** The store refused or could not be reached; the call had no effect and never will. */
  UNAVAILABLE,
  /** No answer came: a write may have taken effect, or may yet take effect. */
  UNKNOWN_RESULT,
  /** The version that a watch or list asked for is no longer kept; list again. */
  VERSION_GONE
}
