/**
 * At-most-once execution of calls under idempotency keys, as pure decisions over a store with
 * create-if-absent and conditional updates.
 *
 * <p>{@link org.agatefield.idempotency.ClaimProtocol} decides what one arrival of a call does next;
 * {@link org.agatefield.idempotency.RetentionPolicy} decides how long claims are kept.
 */
package org.agatefield.idempotency;
