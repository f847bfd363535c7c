package org.agatefield.engine;

/**
 * An order to a model engine. Immutable. An engine that carries it out twice ends in the same
 * state.
 *
 * @param action what to do
 * @param version the engine name of the version, {@code deployment@version}
 * @param adapter the adapter's name; empty for orders about versions
 * @param memoryMegabytes accelerator memory that the loaded thing takes
 * @param fencingToken larger than that of every earlier order about versions; 0 for orders about
 *     adapters, which are not fenced
 */
public record EngineOrder(
    OrderAction action, String version, String adapter, long memoryMegabytes, long fencingToken) {}
