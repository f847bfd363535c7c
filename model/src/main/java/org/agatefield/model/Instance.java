package org.agatefield.model;

/**
 * An entry instance. Immutable.
 *
 * @param id unique among all instances and never reused by a later process
 * @param callerAddress the address for callers
 * @param peerAddress the address for other instances
 * @param failureDomain the failure domain that contains the instance
 * @param state the state that the instance last reported
 */
public record Instance(
    String id,
    Address callerAddress,
    Address peerAddress,
    FailureDomain failureDomain,
    InstanceState state) {}
