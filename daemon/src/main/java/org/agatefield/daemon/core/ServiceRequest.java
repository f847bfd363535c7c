package org.agatefield.daemon.core;

import java.time.Duration;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Priority;

/**
 * Describes a request to a plain service for admission and routing. Immutable.
 *
 * @param requestId unique identifier, for logs
 * @param fingerprint equal for equal requests of the caller at all instances
 * @param caller the caller's name
 * @param service the service's name
 * @param priority the priority, already limited to the caller's maximum
 * @param remaining time until the deadline
 * @param bodyBytes size of the request body
 */
public record ServiceRequest(
    String requestId,
    RequestFingerprint fingerprint,
    String caller,
    String service,
    Priority priority,
    Duration remaining,
    long bodyBytes) {}
