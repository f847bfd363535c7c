package org.agatefield.routing;

/**
 * The upstream chosen for a request. Immutable.
 *
 * @param candidate the upstream
 * @param reason the reason, as {@code key=value} pairs for the log
 */
public record Choice(Candidate candidate, String reason) {}
