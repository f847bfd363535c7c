package org.agatefield.routing;

/**
 * Estimates the number of requests at an upstream from the requests that this instance sent and
 * from load reports that lag behind.
 *
 * <p>A report counts the requests of all instances at an unknown time since about two reports ago.
 * The largest number of requests that this instance had outstanding in that time is subtracted, so
 * that its own requests that were answered since are never counted as requests of others. The rest
 * is attributed to other instances, and the current requests of this instance are added. The
 * requests attributed to others count half as much for each half-life that passes without a new
 * report, so that an upstream is not avoided forever. Not thread safe.
 */
public final class UpstreamLoad {
  private static final double SMOOTHING = 0.1;
  private static final long HALF_LIFE_NANOSECONDS = 2_000_000_000L;
  private static final int MAXIMUM_HALVINGS = 30;
  private static final long INITIAL_NANOSECONDS_PER_REQUEST = 1_000_000_000L;

  private int own;
  private int maximumOwnSinceReport;
  private int maximumOwnBeforeReport;
  private int others;
  private long reportedAtNanoseconds;
  private double nanosecondsPerRequest = INITIAL_NANOSECONDS_PER_REQUEST;

  /** Records that a request was sent. */
  public void sent() {
    own++;
    maximumOwnSinceReport = Math.max(maximumOwnSinceReport, own);
  }

  /** Records that a request is no longer at the upstream. */
  public void finished() {
    own = Math.max(0, own - 1);
  }

  /** Records the service time of a request that was answered completely. */
  public void recordServiceTime(long nanoseconds) {
    nanosecondsPerRequest += SMOOTHING * (nanoseconds - nanosecondsPerRequest);
  }

  /** Applies a report of the running and waiting requests at the upstream. */
  public void reported(int running, int waiting, long nowNanoseconds) {
    reportedAtNanoseconds = nowNanoseconds;
    int maximumOwn = Math.max(maximumOwnSinceReport, maximumOwnBeforeReport);
    others = Math.max(0, running + waiting - maximumOwn);
    maximumOwnBeforeReport = maximumOwnSinceReport;
    maximumOwnSinceReport = own;
  }

  /** Returns the number of requests of this instance at the upstream. */
  public int own() {
    return own;
  }

  /** Returns the estimated number of requests of all instances at the upstream. */
  public int outstanding(long nowNanoseconds) {
    long age = Math.max(0, nowNanoseconds - reportedAtNanoseconds);
    long halvings = Math.min(MAXIMUM_HALVINGS, age / HALF_LIFE_NANOSECONDS);
    return own + (others >> halvings);
  }

  /** Returns the smoothed service time of recent requests. */
  public long nanosecondsPerRequest() {
    return (long) nanosecondsPerRequest;
  }
}
