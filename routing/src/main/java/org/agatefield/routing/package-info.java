/**
 * Chooses upstreams for requests and entry instances for callers.
 *
 * <p>Nothing here does input or output, starts a thread or reads a clock: times are nanoseconds of
 * a monotonic clock that the embedding program passes in, and randomness comes from a generator
 * that it injects.
 */
package org.agatefield.routing;
