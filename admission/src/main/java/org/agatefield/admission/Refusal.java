package org.agatefield.admission;

import java.time.Duration;
import org.agatefield.model.ErrorKind;

/**
 * A request that was refused before any part of it was sent to an upstream. Immutable.
 *
 * @param request the request
 * @param kind the error kind, always one that states that the request did not run
 * @param retryAfter the delay after which the caller should retry
 * @param reason the cause of the refusal, for the answer and the log
 */
public record Refusal(QueuedRequest request, ErrorKind kind, Duration retryAfter, String reason) {}
