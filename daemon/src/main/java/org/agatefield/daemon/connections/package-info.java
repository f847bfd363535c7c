/**
 * What the connections of clients hold, before anything is known of who the clients are.
 *
 * <p>{@link org.agatefield.daemon.connections.HeldConnections} decides without input and output who
 * has to go; the other classes count what arrives and carry the decisions out.
 */
package org.agatefield.daemon.connections;
