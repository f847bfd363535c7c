package org.agatefield.routing;

/**
 * An upstream that could serve a request, as this instance sees it now. Immutable.
 *
 * @param upstream the upstream's name
 * @param region the region that it lies in
 * @param outstanding estimated requests at the upstream, from all instances
 * @param limit how many requests it should have at once, 1 or more
 * @param draining whether others should be preferred because it is about to lose the version
 * @param adapterLoaded whether it has the adapter loaded, or none is needed
 * @param nanosecondsPerRequest how long it lately took from sending to the whole answer
 */
public record Candidate(
    String upstream,
    String region,
    int outstanding,
    int limit,
    boolean draining,
    boolean adapterLoaded,
    long nanosecondsPerRequest) {
  /** Returns whether the upstream has a place for one more request. */
  public boolean hasCapacity() {
    return outstanding < limit;
  }
}
