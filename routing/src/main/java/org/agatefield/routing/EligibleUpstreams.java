package org.agatefield.routing;

import java.util.List;
import java.util.Set;

/**
 * Narrows the holders of a version down to those that should get a request.
 *
 * <p>Invariant: never empty if there are holders; a draining one only if every holder is draining;
 * one that already failed the request only if no other is left. Confined to one thread at a time.
 */
public final class EligibleUpstreams {
  private final OutlierDetector outliers;

  /** Creates a filter that leaves out what {@code outliers} has ejected. */
  public EligibleUpstreams(OutlierDetector outliers) {
    this.outliers = outliers;
  }

  /**
   * Returns the holders to choose from, with or without a place.
   *
   * @param failed names of upstreams that failed this request before
   */
  public List<Candidate> of(List<Candidate> holders, Set<String> failed, long nowNanoseconds) {
    if (failed.isEmpty() && allOrdinary(holders, nowNanoseconds)) {
      return holders;
    }
    List<Candidate> staying = holders.stream().filter(each -> !each.draining()).toList();
    List<Candidate> usable = staying.isEmpty() ? holders : staying;
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

  private boolean allOrdinary(List<Candidate> holders, long nowNanoseconds) {
    for (Candidate holder : holders) {
      if (holder.draining() || outliers.isEjected(holder.upstream(), nowNanoseconds)) {
        return false;
      }
    }
    return true;
  }
}
