package org.agatefield.daemon.core;

import java.time.Duration;
import org.agatefield.model.Priority;

/**
 * What admission and routing need to know of a request to a plain service. Immutable.
 *
 * @param requestId unique, for logs
 * @param caller the caller's name
 * @param service the service's name
 * @param priority already limited by what the caller allows
 * @param remaining time until the deadline, from now
 * @param bodyBytes size of the request body
 */
public record ServiceRequest(
    String requestId,
    String caller,
    String service,
    Priority priority,
    Duration remaining,
    long bodyBytes) {}
