package org.agatefield.model;

/**
 * A rule that states whether matching calls of a plain service are repeatable. Immutable.
 *
 * @param method the HTTP method, in capitals
 * @param pathPrefix the start of the paths below {@code /services/name}, beginning with a slash
 * @param repeatable whether the call may be executed twice; other calls need an idempotency key
 */
public record ServiceCall(String method, String pathPrefix, boolean repeatable) {}
