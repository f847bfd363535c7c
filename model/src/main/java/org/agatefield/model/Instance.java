package org.agatefield.model;

/**
 * An entry instance. Immutable.
 *
 * @param id unique among all instances, and never used again by a later process
 * @param callerAddress where callers connect
 * @param peerAddress where other instances connect
 * @param failureDomain where the instance lies
 * @param state what the instance last said of itself
 */
public record Instance(
    String id,
    Address callerAddress,
    Address peerAddress,
    FailureDomain failureDomain,
    InstanceState state) {}
