/**
 * Decisions about a request that is passed on unchanged: its route, its attempts, its runner.
 *
 * <p>No input or output, no thread and no clock; the embedding program hands in events and times.
 */
package org.agatefield.forwarding;
