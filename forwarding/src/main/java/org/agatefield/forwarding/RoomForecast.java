package org.agatefield.forwarding;

/**
 * When there is room for a request that cannot be sent now. Immutable.
 *
 * @param excessMilliseconds how long the backlog of the best runner has to shrink
 * @param requestsAhead requests of all instances that get room before it
 * @param perSecond the rate at which requests for its target are sent; at least that of one runner
 */
public record RoomForecast(double excessMilliseconds, double requestsAhead, double perSecond) {
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final double MAXIMUM_MILLISECONDS = 60_000;

  /** Returns the expected time until there is room. */
  public long milliseconds() {
    double drain =
        requestsAhead > 0 && perSecond > 0
            ? requestsAhead * MILLISECONDS_PER_SECOND / perSecond
            : 0;
    return (long) Math.min(MAXIMUM_MILLISECONDS, Math.max(excessMilliseconds, drain));
  }

  /** Returns the forecast with further requests ahead. */
  public RoomForecast behind(double furtherRequests) {
    return new RoomForecast(excessMilliseconds, requestsAhead + furtherRequests, perSecond);
  }
}
