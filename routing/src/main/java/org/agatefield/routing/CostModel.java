package org.agatefield.routing;

/**
 * The expected costs of the steps of a request. Immutable.
 *
 * @param prefillNanosecondsPerToken time to prefill one prompt token that is not cached
 * @param adapterLoadNanoseconds time to load an adapter
 * @param crossingNanoseconds latency added by the link between regions, for both directions
 * @param crossingNanosecondsPerByte cost of a byte sent over the link, expressed as time
 */
public record CostModel(
    long prefillNanosecondsPerToken,
    long adapterLoadNanoseconds,
    long crossingNanoseconds,
    long crossingNanosecondsPerByte) {}
