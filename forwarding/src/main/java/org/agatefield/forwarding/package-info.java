/**
 * Decides how requests are forwarded unchanged: their routes, attempts and runners.
 *
 * <p>Nothing here performs I/O, starts threads or reads clocks: the embedding program passes in
 * events and times.
 */
package org.agatefield.forwarding;
