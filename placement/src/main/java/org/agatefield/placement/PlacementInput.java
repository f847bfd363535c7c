package org.agatefield.placement;

import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;

/**
 * Everything that a placement is decided on. Immutable as long as nobody changes {@code ages}.
 *
 * @param configuration the configuration in force
 * @param runners every configured model runner
 * @param demand one sample for each deployment and region with recent demand
 * @param ages how long each ledger entry has been seen as it is
 * @param loadAllowance loads that the weight store's rate allows to start now
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
