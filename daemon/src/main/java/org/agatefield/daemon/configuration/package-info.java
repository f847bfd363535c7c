/**
 * Manages the active configuration: accepted through the store, received by watch, peers and poll.
 */
package org.agatefield.daemon.configuration;
