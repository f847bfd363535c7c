/** Decides which runners hold which versions and computes the memory ledgers; does no I/O. */
package org.agatefield.placement;
