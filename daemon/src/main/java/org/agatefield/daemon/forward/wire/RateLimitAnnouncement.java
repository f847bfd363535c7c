package org.agatefield.daemon.forward.wire;

/** States what a response says about the request rate that its runner accepts. */
public sealed interface RateLimitAnnouncement {
  /**
   * The runner limits the rate of requests. Immutable.
   *
   * @param requestsPerSecond the limit over the requests of all instances; finite, 0 or more
   */
  record Limited(double requestsPerSecond) implements RateLimitAnnouncement {}

  /** The response names no limit. */
  record NotLimited() implements RateLimitAnnouncement {}

  /** The response names a limit that is not a valid rate. */
  record Invalid() implements RateLimitAnnouncement {}
}
