package org.agatefield.forwarding.check;

/**
 * Something in a configuration that the daemon accepts but that has no effect or contradicts
 * another field. Immutable.
 *
 * @param path the path of the field in the operator's file
 * @param found what was found
 * @param expected what is expected instead
 */
public record Finding(String path, String found, String expected) {}
