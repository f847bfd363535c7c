package org.agatefield.admission;

/**
 * Limits the retries of one instance within each span of a sliding window.
 *
 * <p>Protects upstreams that fail or refuse many requests at once: without a limit, every failure
 * adds a request to a service that is already overloaded. Each instance counts its own requests and
 * uses its part of the shared reserve, so that no message to other instances is needed per request.
 * Invariant: whenever a retry is granted, the retries of the window that ends then are at most
 * {@code share * requests + reserve} of the same window. Not thread safe.
 */
public final class WindowedRetryBudget {
  private static final int BUCKETS = 20; // the window slides in steps of a twentieth

  private final double share;
  private final long bucketMilliseconds;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS + 1];
  private long newestBucket;

  /**
   * Creates a budget.
   *
   * @param share retries granted per request
   * @param windowMilliseconds the length of the window
   */
  public WindowedRetryBudget(double share, long windowMilliseconds) {
    this.share = share;
    this.bucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS);
  }

  /** Counts a request that a caller sent. */
  public void requested(long nowMilliseconds) {
    advance(nowMilliseconds);
    requests[(int) (newestBucket % BUCKETS)]++;
  }

  /**
   * Takes one retry if the budget allows it.
   *
   * @param reserve this instance's part of the retries that are granted beyond the share
   */
  public boolean tryTake(double reserve, long nowMilliseconds) {
    advance(nowMilliseconds);
    if (sum(retries) + 1 > share * sum(requests) + reserve) {
      return false;
    }
    retries[(int) (newestBucket % (BUCKETS + 1))]++;
    return true;
  }

  /** Returns the number of retries that could still be taken now. */
  public double left(double reserve, long nowMilliseconds) {
    advance(nowMilliseconds);
    return share * sum(requests) + reserve - sum(retries);
  }

  /**
   * Advances to the current bucket. Retries are counted for one bucket more than requests, so that
   * the limit holds for every span of the length of a window.
   */
  private void advance(long nowMilliseconds) {
    long bucket = nowMilliseconds / bucketMilliseconds;
    if (bucket <= newestBucket) {
      return;
    }
    long first = Math.max(newestBucket + 1, bucket - BUCKETS);
    for (long cleared = first; cleared <= bucket; cleared++) {
      requests[(int) (cleared % BUCKETS)] = 0;
      retries[(int) (cleared % (BUCKETS + 1))] = 0;
    }
    newestBucket = bucket;
  }

  private static int sum(int[] counts) {
    int total = 0;
    for (int count : counts) {
      total += count;
    }
    return total;
  }
}
