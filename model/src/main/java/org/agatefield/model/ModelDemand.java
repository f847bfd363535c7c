package org.agatefield.model;

/**
 * Demand for one model over the time since the report before. Immutable.
 *
 * @param service the service that serves the model
 * @param model the model's name
 * @param arrivedTokens prompt tokens of the requests that arrived
 * @param arrivedRequests requests that arrived
 * @param waitingRequests requests that wait for a runner at the moment
 * @param runningRequests requests at runners at the moment
 * @param priority the most urgent priority among those that wait or arrived, 0 is first
 */
public record ModelDemand(
    String service,
    String model,
    long arrivedTokens,
    int arrivedRequests,
    int waitingRequests,
    int runningRequests,
    int priority) {}
