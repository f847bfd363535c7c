/**
 * Group membership by probes and gossip, as a pure state machine.
 *
 * <p>{@link org.agatefield.membership.Membership} takes events and the time and returns actions; it
 * does no input or output, starts no thread and reads no clock.
 */
package org.agatefield.membership;
