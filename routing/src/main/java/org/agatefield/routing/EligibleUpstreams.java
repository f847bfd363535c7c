package org.agatefield.routing;

import java.util.List;
import java.util.Set;

/**
 * Filters the upstreams that hold a version for those that should receive a request.
 *
 * <p>Invariant: the result is empty only if there are no holders; it contains draining upstreams
 * only if every holder is draining, and upstreams that already failed the request only if no other
 * is left. Not thread safe.
 */
public final class EligibleUpstreams {
  private final OutlierDetector outliers;

  /** Creates a filter that excludes the upstreams that {@code outliers} has ejected. */
  public EligibleUpstreams(OutlierDetector outliers) {
    this.outliers = outliers;
  }

  /**
   * Returns the holders to choose from, with or without free capacity.
   *
   * @param failed names of upstreams that already failed this request
   */
  public List<Candidate> of(List<Candidate> holders, Set<String> failed, long nowNanoseconds) {
    if (failed.isEmpty() && allUnrestricted(holders, nowNanoseconds)) {
      return holders;
    }
    List<Candidate> notDraining = holders.stream().filter(each -> !each.draining()).toList();
    List<Candidate> usable = notDraining.isEmpty() ? holders : notDraining;
    List<Candidate> healthy = outliers.admitted(usable, Candidate::upstream, nowNanoseconds);
    List<Candidate> untried =
        healthy.stream().filter(each -> !failed.contains(each.upstream())).toList();
    if (!untried.isEmpty()) {
      return untried;
    }
    List<Candidate> others =
        usable.stream().filter(each -> !failed.contains(each.upstream())).toList();
    return others.isEmpty() ? healthy : others;
  }

  private boolean allUnrestricted(List<Candidate> holders, long nowNanoseconds) {
    for (Candidate holder : holders) {
      if (holder.draining() || outliers.isEjected(holder.upstream(), nowNanoseconds)) {
        return false;
      }
    }
    return true;
  }
}
