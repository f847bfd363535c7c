package org.agatefield.model;

/**
 * What the weight store allows all instances together. Immutable.
 *
 * @param loadsPerSecond loads of versions that may start each second, above 0
 * @param concurrentLoads loads of versions at once at full speed, above 0
 * @param adapterLoadsInFlight loads of adapters at once at full speed, above 0
 */
public record WeightStoreLimits(
    double loadsPerSecond, int concurrentLoads, int adapterLoadsInFlight) {}
