package org.agatefield.engine;

/**
 * An order to a model engine. Immutable. Orders are idempotent: executing one twice has the same
 * effect as executing it once.
 *
 * @param action what to do
 * @param version the engine name of the version, {@code deployment@version}
 * @param adapter the adapter's name; empty for orders about versions
 * @param memoryMegabytes accelerator memory of the version or adapter to load
 * @param fencingToken larger than that of every earlier order about versions; 0 for orders about
 *     adapters, which are not fenced
 */
public record EngineOrder(
    OrderAction action, String version, String adapter, long memoryMegabytes, long fencingToken) {}
