/** Decides which versions lie on which runners, and keeps the memory ledgers; pure decisions. */
package org.agatefield.placement;
