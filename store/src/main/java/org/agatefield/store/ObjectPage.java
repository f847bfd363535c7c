package org.agatefield.store;

import java.util.Optional;

/**
 * A part of the objects of a kind. Immutable.
 *
 * @param objects the objects of this page and the version that the whole list was read at
 * @param continueToken names the next page; empty after the last one
 */
public record ObjectPage(ObjectList objects, Optional<String> continueToken) {}
