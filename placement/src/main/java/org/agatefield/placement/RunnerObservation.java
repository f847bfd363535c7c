package org.agatefield.placement;

import org.agatefield.model.LoadReport;

/**
 * A load report with the time at which it was requested. Immutable.
 *
 * @param report the engine's report
 * @param askedAtNanoseconds the planner's monotonic time before the request was sent
 */
public record RunnerObservation(LoadReport report, long askedAtNanoseconds) {}
