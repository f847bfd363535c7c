package org.agatefield.forwarding;

/**
 * A model that the engines of a service can load. Immutable.
 *
 * @param name the model's name
 * @param weightsMegabytes memory for its weights
 * @param storeLoadMilliseconds time to load it from the weight store
 * @param diskLoadMilliseconds time to load it from the runner's disk
 * @param memoryLoadMilliseconds time to load it from the runner's host memory
 * @param adapterMegabytes memory for each of its adapters
 */
public record ServedModel(
    String name,
    double weightsMegabytes,
    double storeLoadMilliseconds,
    double diskLoadMilliseconds,
    double memoryLoadMilliseconds,
    double adapterMegabytes) {}
