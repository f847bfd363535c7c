package org.agatefield.placement;

import java.util.Optional;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;

/**
 * A model runner as a placement policy sees it. Immutable.
 *
 * @param upstream the runner as configured
 * @param ledger its ledger
 * @param report its last load report, if it answers
 * @param available whether it answers and is not leaving, so that its replicas count
 */
public record RunnerView(
    Upstream upstream, RunnerLedger ledger, Optional<LoadReport> report, boolean available) {}
