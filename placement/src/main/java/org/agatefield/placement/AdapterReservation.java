package org.agatefield.placement;

/**
 * Memory that is reserved for one adapter beside a version. Immutable.
 *
 * @param name the adapter's name
 * @param memoryMegabytes accelerator memory that the loaded adapter takes
 */
public record AdapterReservation(String name, long memoryMegabytes) {}
