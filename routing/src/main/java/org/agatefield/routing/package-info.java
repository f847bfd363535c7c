/**
 * Chooses upstreams for requests and entry instances for callers.
 *
 * <p>Nothing here performs I/O, starts threads or reads clocks: the embedding program passes in
 * times, in nanoseconds of a monotonic clock, and a random generator.
 */
package org.agatefield.routing;
