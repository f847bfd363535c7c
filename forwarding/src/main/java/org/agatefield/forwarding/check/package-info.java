/**
 * Finds entries of a forwarding configuration that never match, limits that contradict each other,
 * and what differs from the configuration in force.
 *
 * <p>Nothing here performs I/O or knows how the operator writes the fields.
 */
package org.agatefield.forwarding.check;
