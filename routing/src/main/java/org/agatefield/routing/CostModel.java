package org.agatefield.routing;

/**
 * What the steps of a request are expected to cost. Immutable.
 *
 * @param prefillNanosecondsPerToken time to read one prompt token that is not cached
 * @param adapterLoadNanoseconds time to load an adapter
 * @param crossingNanoseconds latency added by the link between regions, both ways
 * @param crossingNanosecondsPerByte what a byte over the link is worth as time
 */
public record CostModel(
    long prefillNanosecondsPerToken,
    long adapterLoadNanoseconds,
    long crossingNanoseconds,
    long crossingNanosecondsPerByte) {}
