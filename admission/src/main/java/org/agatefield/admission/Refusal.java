package org.agatefield.admission;

import java.time.Duration;
import org.agatefield.model.ErrorKind;

/**
 * A request that was refused before anything of it was sent. Immutable.
 *
 * @param request the request
 * @param kind the error kind, always one that says "not run"
 * @param retryAfter when the caller should come back
 * @param reason what was found, for the answer and the log
 */
public record Refusal(QueuedRequest request, ErrorKind kind, Duration retryAfter, String reason) {}
