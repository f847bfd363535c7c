package org.agatefield.forwarding;

/**
 * Bounds of what a caller may send. Immutable.
 *
 * @param headerBytes largest request line and headers
 * @param bodyBytes largest body
 * @param headerTimeoutMilliseconds how long the headers may take
 * @param idleTimeoutMilliseconds how long a connection may be idle
 */
public record IngressLimits(
    int headerBytes, long bodyBytes, long headerTimeoutMilliseconds, long idleTimeoutMilliseconds) {
  /** Bounds for the time before any configuration is known. */
  public static final IngressLimits DEFAULTS = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
