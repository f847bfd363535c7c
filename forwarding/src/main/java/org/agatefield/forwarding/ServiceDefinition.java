package org.agatefield.forwarding;

import java.util.Optional;

/**
 * A service that routes forward to. Immutable.
 *
 * @param name the service's name
 * @param maximumConnections connections that one runner accepts from all instances together
 * @param engines the engines that serve models; empty for a plain service
 */
public record ServiceDefinition(
    String name, int maximumConnections, Optional<EnginePool> engines) {}
