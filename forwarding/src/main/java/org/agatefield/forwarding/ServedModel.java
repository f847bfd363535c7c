package org.agatefield.forwarding;

/**
 * A model that a service's engines can load. Immutable.
 *
 * @param name the model's name
 * @param weightsMegabytes memory that its weights take
 * @param storeLoadMilliseconds time to load from the weight store
 * @param diskLoadMilliseconds time to load from the runner's disk
 * @param memoryLoadMilliseconds time to load from the runner's host memory
 * @param adapterMegabytes memory that each of its adapters takes
 */
public record ServedModel(
    String name,
    double weightsMegabytes,
    double storeLoadMilliseconds,
    double diskLoadMilliseconds,
    double memoryLoadMilliseconds,
    double adapterMegabytes) {}
