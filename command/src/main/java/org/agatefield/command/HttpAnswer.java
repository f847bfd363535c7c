package org.agatefield.command;

import java.util.Optional;

/**
 * A whole HTTP answer. Immutable.
 *
 * @param status the HTTP status
 * @param body the body as text
 * @param retryAfter the Retry-After header
 */
record HttpAnswer(int status, String body, Optional<String> retryAfter) {}
