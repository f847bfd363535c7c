/**
 * Admission control: decides which requests wait, which are refused and which is served next.
 *
 * <p>Nothing here performs I/O, starts threads or reads clocks: the embedding program passes in
 * times of a monotonic clock.
 */
package org.agatefield.admission;
