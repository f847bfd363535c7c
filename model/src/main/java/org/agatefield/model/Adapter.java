package org.agatefield.model;

/**
 * An adapter of a deployment, loaded on demand in addition to the base model. Immutable.
 *
 * @param name the name that callers send as {@code model}; unique among deployments and adapters
 * @param deployment the deployment that it extends
 * @param memoryMegabytes accelerator memory that the loaded adapter takes, above 0
 */
public record Adapter(String name, String deployment, long memoryMegabytes) {}
