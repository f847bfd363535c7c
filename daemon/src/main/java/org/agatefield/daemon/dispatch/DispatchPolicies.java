package org.agatefield.daemon.dispatch;

import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.agatefield.admission.DeadlineShedding;
import org.agatefield.admission.RetryBudget;
import org.agatefield.admission.RetryPolicy;
import org.agatefield.admission.SelectionOrder;
import org.agatefield.admission.SheddingPolicy;
import org.agatefield.admission.WeightedFairOrder;
import org.agatefield.routing.CostModel;
import org.agatefield.routing.CrossRegionRule;
import org.agatefield.routing.ExpectedTimeChooser;
import org.agatefield.routing.PrefixTable;
import org.agatefield.routing.UpstreamChooser;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The policies of one dispatcher; none may be shared with another. Immutable.
 *
 * @param chooser creates the choice between upstreams
 * @param shedding which requests are refused
 * @param order which waiting request goes next
 * @param retries how many further attempts are made upstream
 * @param crossing when a request may leave its region although that holds its version
 */
public record DispatchPolicies(
    Function<PrefixTable, UpstreamChooser> chooser,
    SheddingPolicy shedding,
    SelectionOrder order,
    RetryPolicy retries,
    CrossRegionRule crossing) {
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_RESERVE = 20;
  private static final long CROSSING_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);
  private static final long NANOSECONDS_PER_LINK_BYTE = 400;
  private static final CostModel COSTS =
      new CostModel(
          TimeUnit.MICROSECONDS.toNanos(100),
          TimeUnit.MILLISECONDS.toNanos(13),
          CROSSING_NANOSECONDS,
          NANOSECONDS_PER_LINK_BYTE);

  /** Returns the policies of a daemon. */
  public static DispatchPolicies standard(UniformRandomProvider random) {
    return new DispatchPolicies(
        prefixes -> new ExpectedTimeChooser(COSTS, prefixes, random),
        new DeadlineShedding(random),
        new WeightedFairOrder(),
        new RetryBudget(RETRY_SHARE, RETRY_RESERVE),
        new CrossRegionRule(CROSSING_NANOSECONDS));
  }

  /** Returns these policies with another choice between upstreams. */
  public DispatchPolicies withChooser(Function<PrefixTable, UpstreamChooser> newChooser) {
    return new DispatchPolicies(newChooser, shedding, order, retries, crossing);
  }

  /** Returns these policies with others for what is refused and what goes next. */
  public DispatchPolicies withShedding(SheddingPolicy newShedding, SelectionOrder newOrder) {
    return new DispatchPolicies(chooser, newShedding, newOrder, retries, crossing);
  }

  /** Returns these policies with another bound on further attempts. */
  public DispatchPolicies withRetries(RetryPolicy newRetries) {
    return new DispatchPolicies(chooser, shedding, order, newRetries, crossing);
  }
}
