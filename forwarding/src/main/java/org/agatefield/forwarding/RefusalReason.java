package org.agatefield.forwarding;

/** Why a request was refused without having run. */
public enum RefusalReason {
  /** No configuration is known yet. */
  NO_CONFIGURATION,
  /** The service has no runner that could take the request. */
  NO_RUNNER,
  /** No runner holds the model, and none can have it in time. */
  MODEL_ABSENT,
  /** Every runner that could take it is full. */
  OVERLOADED,
  /** The deadline passed, or will pass before the request can begin. */
  DEADLINE,
  /** The retry budget is used up. */
  RETRY_BUDGET,
  /** This instance is shutting down. */
  SHUTTING_DOWN,
  /** Too many bytes of request bodies are held. */
  MEMORY,
  /** The client account's key is not, or no longer, in the configuration. */
  UNKNOWN_KEY,
  /** The client account has used up its quota. */
  OVER_QUOTA,
  /** Whether the client account's quota allows the request could not be found out. */
  QUOTA_UNKNOWN
}
