package org.agatefield.model;

/**
 * A configured version of a deployment. Immutable.
 *
 * @param name unique within the deployment
 * @param memoryMegabytes accelerator memory that the loaded version takes, above 0
 * @param weight share of the deployment's requests, 0 or more, relative to its other versions
 */
public record DeploymentVersion(String name, long memoryMegabytes, int weight) {}
