package org.agatefield.forwarding.check;

/**
 * An entry and where the operator wrote it. Immutable.
 *
 * @param path the path of the entry in the operator's file
 * @param value the entry
 */
public record Located<T>(String path, T value) {}
