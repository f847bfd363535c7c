/**
 * At-most-once execution of calls with idempotency keys. Contains decisions only, for a store with
 * create-if-absent and conditional updates.
 *
 * <p>{@link org.agatefield.idempotency.ClaimProtocol} decides the next actions of an attempt;
 * {@link org.agatefield.idempotency.RetentionPolicy} decides how long claims are retained.
 */
package org.agatefield.idempotency;
