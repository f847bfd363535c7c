package org.agatefield.model;

/**
 * Limits of the weight store for all instances together. Immutable.
 *
 * @param loadsPerSecond version loads that may start per second, above 0
 * @param concurrentLoads version loads that may run at full speed at the same time, above 0
 * @param adapterLoadsInFlight adapter loads that may run at full speed at the same time, above 0
 */
public record WeightStoreLimits(
    double loadsPerSecond, int concurrentLoads, int adapterLoadsInFlight) {}
