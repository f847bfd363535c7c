package org.agatefield.model;

import java.util.Optional;

/**
 * A model runner or service runner as configured. Immutable.
 *
 * @param name unique among upstreams
 * @param kind the kind of runner
 * @param address the address on which it listens
 * @param failureDomain the failure domain that contains it
 * @param accelerators number of accelerators; 0 for a service runner
 * @param memoryMegabytes accelerator memory; 0 for a service runner
 * @param checksFencingTokens whether it refuses orders with an old fencing token
 * @param service the plain service that it runs; empty for a model runner
 */
public record Upstream(
    String name,
    UpstreamKind kind,
    Address address,
    FailureDomain failureDomain,
    int accelerators,
    long memoryMegabytes,
    boolean checksFencingTokens,
    Optional<String> service) {}
