package org.agatefield.forwarding;

/**
 * A service with its share of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight its share relative to the other services of the route, at least 0
 */
public record WeightedService(String service, double weight) {}
