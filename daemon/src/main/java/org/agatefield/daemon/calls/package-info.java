/**
 * Calls of plain services that must run at most once, over claims in the platform's store.
 *
 * <p>The decisions lie in {@link org.agatefield.idempotency.ClaimProtocol}; this package carries
 * them out.
 */
package org.agatefield.daemon.calls;
