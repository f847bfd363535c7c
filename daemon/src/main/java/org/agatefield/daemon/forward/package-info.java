/**
 * The forwarding daemon: passes requests on unchanged and places models on runners.
 *
 * <p>All state is confined to one event loop, but for what peers exchange.
 */
package org.agatefield.daemon.forward;
