/**
 * Leases in a store with conditional updates. Contains decisions only and does no I/O.
 *
 * <p>{@link org.agatefield.lease.LeaseProtocol} decides what to write and when; the application
 * reads and writes the store and passes the time of its monotonic clock.
 */
package org.agatefield.lease;
