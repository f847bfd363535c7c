package org.agatefield.model;

/**
 * The calls of a plain service that share a rule. Immutable.
 *
 * @param method the HTTP method, in capitals
 * @param pathPrefix the start of the paths below {@code /services/name}, beginning with a slash
 * @param repeatable whether running the call twice does no harm; others need an idempotency key
 */
public record ServiceCall(String method, String pathPrefix, boolean repeatable) {}
