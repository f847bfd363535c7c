package org.agatefield.standin.engine;

import java.util.Optional;

/**
 * Options of a stand-in engine. Immutable.
 *
 * @param port the port on loopback; 0 for any free port
 * @param name the name of the engine in logs and responses
 * @param memoryMegabytes accelerator memory, in megabytes
 * @param checksFencingTokens whether orders with an outdated fencing token are refused
 * @param weights address of the weight store; empty if loads do not use one
 * @param tokenMilliseconds time of one step of the batch, which generates one token per request
 * @param batch maximum number of concurrent requests
 * @param adapterLoadMilliseconds time to load an adapter
 * @param weightsDelayMilliseconds time added to the load of a version after the weight store
 */
public record EngineStandinOptions(
    int port,
    String name,
    long memoryMegabytes,
    boolean checksFencingTokens,
    Optional<String> weights,
    int tokenMilliseconds,
    int batch,
    int adapterLoadMilliseconds,
    int weightsDelayMilliseconds) {}
