/**
 * Forwards requests to runners unchanged and places models on runners.
 *
 * <p>All state is confined to one event loop, except for membership and messages between peers.
 */
package org.agatefield.daemon.forward;
