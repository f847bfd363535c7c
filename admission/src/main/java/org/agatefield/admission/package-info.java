/**
 * Decides which requests wait, which are refused at once, and which goes next.
 *
 * <p>Nothing here does input or output, starts a thread or reads a clock: times are nanoseconds of
 * a monotonic clock that the embedding program passes in.
 */
package org.agatefield.admission;
