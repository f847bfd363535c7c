package org.agatefield.forwarding;

import java.util.Optional;

/**
 * A service behind routes. Immutable.
 *
 * @param name the service's name
 * @param maximumConnections connections that one runner accepts from all instances together
 * @param engines how models are served; empty for a plain service
 */
public record ServiceDefinition(
    String name, int maximumConnections, Optional<EnginePool> engines) {}
