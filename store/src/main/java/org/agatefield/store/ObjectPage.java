package org.agatefield.store;

import java.util.Optional;

/**
 * One page of a list of objects. Immutable.
 *
 * @param objects the objects of this page and the version of the list
 * @param continueToken identifies the next page; empty for the last page
 */
public record ObjectPage(ObjectList objects, Optional<String> continueToken) {}
