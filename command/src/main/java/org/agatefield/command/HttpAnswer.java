package org.agatefield.command;

import java.util.Optional;

/**
 * A complete HTTP answer. Immutable.
 *
 * @param status the HTTP status
 * @param body the body as text
 * @param retryAfter the value of the Retry-After header
 */
record HttpAnswer(int status, String body, Optional<String> retryAfter) {}
