/**
 * A lease over a store with conditional updates, as pure decisions.
 *
 * <p>{@link org.agatefield.lease.LeaseProtocol} decides when to write what; the embedding program
 * reads and writes the store and passes its own monotonic clock.
 */
package org.agatefield.lease;
