/**
 * Executes calls of plain services at most once, by means of claims in the platform's store.
 *
 * <p>{@link org.agatefield.idempotency.ClaimProtocol} makes the decisions; this package executes
 * them.
 */
package org.agatefield.daemon.calls;
