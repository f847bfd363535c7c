/** A TCP relay that delays, limits, cuts and freezes what it relays. */
package org.agatefield.standin.relay;
