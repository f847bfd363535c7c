package org.agatefield.standin.relay;

/**
 * Delays, limits and faults of a relay. Immutable.
 *
 * @param delayMilliseconds one-way delay
 * @param bitsPerSecond bandwidth per direction, shared by all connections; 0 for no limit
 * @param cut refuses new connections and closes open ones
 * @param halfOpen accepts connections and relays nothing
 */
public record RelayBehaviour(
    long delayMilliseconds, long bitsPerSecond, boolean cut, boolean halfOpen) {

  /** Relays without delay or limit. */
  public static final RelayBehaviour TRANSPARENT = new RelayBehaviour(0, 0, false, false);
}
