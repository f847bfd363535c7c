package org.agatefield.forwarding;

/**
 * Limits for incoming requests and connections. Immutable.
 *
 * @param headerBytes the maximum size of the request line and the headers
 * @param bodyBytes the maximum size of the body
 * @param headerTimeoutMilliseconds the time within which the headers must arrive
 * @param idleTimeoutMilliseconds the time after which an idle connection is closed
 */
public record IngressLimits(
    int headerBytes, long bodyBytes, long headerTimeoutMilliseconds, long idleTimeoutMilliseconds) {
  /** The headers that an instance takes, whatever is configured. */
  public static final int INSTANCE_HEADER_BYTES = 65_536;

  /** The bodies of all requests together that an instance holds; a quarter of the usual heap. */
  public static final long INSTANCE_BODY_BYTES = 48L * 1_048_576;

  /** The limits that apply until a configuration is loaded. */
  public static final IngressLimits DEFAULTS = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
