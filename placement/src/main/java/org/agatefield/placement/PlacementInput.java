package org.agatefield.placement;

import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;

/**
 * The input of a placement policy. Immutable as long as {@code ages} is not changed.
 *
 * @param configuration the configuration in force
 * @param runners every configured model runner
 * @param demand one sample for each deployment and region with recent demand
 * @param ages how long each ledger entry has been unchanged
 * @param loadAllowance loads that may start now within the weight store's rate limit
 * @param nowNanoseconds monotonic time
 */
public record PlacementInput(
    ConfigurationDocument configuration,
    List<RunnerView> runners,
    List<DemandSample> demand,
    LedgerAges ages,
    int loadAllowance,
    long nowNanoseconds) {
  /** Copies the lists. */
  public PlacementInput {
    runners = List.copyOf(runners);
    demand = List.copyOf(demand);
  }
}
