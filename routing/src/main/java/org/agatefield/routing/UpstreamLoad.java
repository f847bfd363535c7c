package org.agatefield.routing;

/**
 * How many requests an upstream has, from what this instance sent and from lagging reports.
 *
 * <p>A report counts requests of all instances at an unknown time since about two reports ago. The
 * most that this instance had outstanding in that time is taken off it, so that its own requests,
 * already answered, are never taken for those of others; the rest is what others have, and what
 * this instance has now is added. What a report said of others counts half as much for each
 * half-life that passes without a new one, so that an upstream is not avoided for ever. Confined to
 * one thread at a time.
 */
public final class UpstreamLoad {
  private static final double SMOOTHING = 0.1;
  private static final long HALF_LIFE_NANOSECONDS = 2_000_000_000L;
  private static final int MAXIMUM_HALVINGS = 30;
  private static final long INITIAL_NANOSECONDS = 1_000_000_000L;

  private int own;
  private int mostOwnSinceReport;
  private int mostOwnBeforeReport;
  private int others;
  private long reportedAtNanoseconds;
  private double nanosecondsPerRequest = INITIAL_NANOSECONDS;

  /** Records a request that was sent. */
  public void sent() {
    own++;
    mostOwnSinceReport = Math.max(mostOwnSinceReport, own);
  }

  /** Records that a request is no longer at the upstream. */
  public void finished() {
    own = Math.max(0, own - 1);
  }

  /** Learns how long a request took that was answered whole. */
  public void recordServiceTime(long nanoseconds) {
    nanosecondsPerRequest += SMOOTHING * (nanoseconds - nanosecondsPerRequest);
  }

  /** Takes in a report of requests at the upstream. */
  public void reported(int running, int waiting, long nowNanoseconds) {
    reportedAtNanoseconds = nowNanoseconds;
    int mostOwn = Math.max(mostOwnSinceReport, mostOwnBeforeReport);
    others = Math.max(0, running + waiting - mostOwn);
    mostOwnBeforeReport = mostOwnSinceReport;
    mostOwnSinceReport = own;
  }

  /** Returns the requests of this instance at the upstream. */
  public int own() {
    return own;
  }

  /** Returns the estimated requests of all instances at the upstream. */
  public int outstanding(long nowNanoseconds) {
    long age = Math.max(0, nowNanoseconds - reportedAtNanoseconds);
    long halvings = Math.min(MAXIMUM_HALVINGS, age / HALF_LIFE_NANOSECONDS);
    return own + (others >> halvings);
  }

  /** Returns how long requests lately took. */
  public long nanosecondsPerRequest() {
    return (long) nanosecondsPerRequest;
  }
}
