package org.agatefield.daemon.core;

/** Named points in a daemon's execution at which tests inject failures. */
public enum FailPoint {
  /** Before a claim is written. */
  BEFORE_CLAIM,
  /** After a claim was written, before anything is sent. */
  AFTER_CLAIM,
  /** After a non-repeatable call was sent, before its response is received. */
  AFTER_SEND,
  /** After the response was received, before the outcome is written. */
  BEFORE_OUTCOME,
  /** After memory was reserved in a ledger, before the load order is sent. */
  AFTER_RESERVATION,
  /** After the last check of the lease, before an order is written to the connection. */
  BEFORE_ORDER,
  /** Before memory is released in a ledger. */
  BEFORE_RELEASE,
  /** After a configuration was accepted by the store, before the operator gets the response. */
  AFTER_CONFIGURATION_ACCEPTED
}
