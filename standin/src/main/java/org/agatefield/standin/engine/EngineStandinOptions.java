package org.agatefield.standin.engine;

import java.util.Optional;

/**
 * How a stand-in engine behaves. Immutable.
 *
 * @param port where it listens on loopback; 0 for any free port
 * @param name its name in logs and answers
 * @param memoryMegabytes accelerator memory that it has
 * @param checksFencingTokens whether it refuses orders with an old fencing token
 * @param weights where the weight store listens; empty if loading needs none
 * @param tokenMilliseconds time of one step of the batch, which gives each request a token
 * @param batch most requests that run at once
 * @param adapterLoadMilliseconds how long an adapter takes to load
 * @param weightsDelayMilliseconds how long a version takes to load beside the weight store
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
