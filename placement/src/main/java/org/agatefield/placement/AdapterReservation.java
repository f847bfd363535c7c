package org.agatefield.placement;

/**
 * Memory reserved for one adapter of a version. Immutable.
 *
 * @param name the adapter's name
 * @param memoryMegabytes accelerator memory that the loaded adapter takes
 */
public record AdapterReservation(String name, long memoryMegabytes) {}
