package org.agatefield.standin.relay;

/**
 * How a relay treats its connections. Immutable.
 *
 * @param delayMilliseconds one-way delay
 * @param bitsPerSecond bandwidth of each direction over all connections; 0 for no limit
 * @param cut refuses new connections and closes the present ones
 * @param halfOpen accepts connections and relays nothing
 */
public record RelayBehaviour(
    long delayMilliseconds, long bitsPerSecond, boolean cut, boolean halfOpen) {

  /** Relays at once and without limit. */
  public static final RelayBehaviour TRANSPARENT = new RelayBehaviour(0, 0, false, false);
}
