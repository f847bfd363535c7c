/** A TCP relay that can delay, throttle, close and stall connections. */
package org.agatefield.standin.relay;
