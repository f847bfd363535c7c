package org.agatefield.routing;

/**
 * An upstream that could serve a request, with its load as estimated by this instance. Immutable.
 *
 * @param upstream the upstream's name
 * @param region the region of the upstream
 * @param outstanding estimated number of requests at the upstream, from all instances
 * @param limit how many requests it should have at once, 1 or more
 * @param draining whether others should be preferred because it is about to unload the version
 * @param adapterLoaded whether it has the adapter loaded, or none is needed
 * @param nanosecondsPerRequest recent service time from sending to the complete answer
 */
public record Candidate(
    String upstream,
    String region,
    int outstanding,
    int limit,
    boolean draining,
    boolean adapterLoaded,
    long nanosecondsPerRequest) {
  /** Returns whether the upstream has capacity for one more request. */
  public boolean hasCapacity() {
    return outstanding < limit;
  }
}
