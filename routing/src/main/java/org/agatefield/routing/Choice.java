package org.agatefield.routing;

/**
 * The upstream that gets a request. Immutable.
 *
 * @param candidate the upstream
 * @param reason why, as {@code key=value} pairs for the log
 */
public record Choice(Candidate candidate, String reason) {}
