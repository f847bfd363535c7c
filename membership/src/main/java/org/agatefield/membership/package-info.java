/**
 * Group membership with probes and gossip, as a state machine without side effects.
 *
 * <p>{@link org.agatefield.membership.Membership} handles events with their time and returns
 * actions; it does no I/O, starts no threads and reads no clock.
 */
package org.agatefield.membership;
