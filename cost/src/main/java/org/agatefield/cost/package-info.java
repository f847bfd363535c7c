/**
 * Estimates what requests cost and what runners still have to do, learned from what instances see.
 *
 * <p>Nothing here performs I/O, starts threads or reads clocks: the embedding program passes in
 * events and times.
 */
package org.agatefield.cost;
