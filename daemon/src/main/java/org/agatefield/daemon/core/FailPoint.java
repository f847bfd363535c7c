package org.agatefield.daemon.core;

/** Named steps of a daemon at which a test may bring about a failure. */
public enum FailPoint {
  /** Before a claim is written. */
  BEFORE_CLAIM,
  /** After a claim was written, before anything is sent. */
  AFTER_CLAIM,
  /** After a call that must not repeat was sent, before its answer came. */
  AFTER_SEND,
  /** After the answer came, before the outcome is written. */
  BEFORE_OUTCOME,
  /** After memory was reserved in a ledger, before the order is sent. */
  AFTER_RESERVATION,
  /** After the last check of the lease, before an order is written to the connection. */
  BEFORE_ORDER,
  /** Before memory is released in a ledger. */
  BEFORE_RELEASE,
  /** After a configuration was accepted by the store, before the operator is answered. */
  AFTER_CONFIGURATION_ACCEPTED
}
