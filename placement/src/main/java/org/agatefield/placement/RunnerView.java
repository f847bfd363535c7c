package org.agatefield.placement;

import java.util.Optional;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;

/**
 * Describes a model runner to a placement policy. Immutable.
 *
 * @param upstream the runner as configured
 * @param ledger its memory ledger
 * @param report its last load report, if it responds
 * @param available whether it responds and is not leaving, so that its replicas count
 */
public record RunnerView(
    Upstream upstream, RunnerLedger ledger, Optional<LoadReport> report, boolean available) {}
