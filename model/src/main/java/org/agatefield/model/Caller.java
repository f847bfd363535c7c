package org.agatefield.model;

/**
 * A client that is allowed to send requests. Immutable.
 *
 * @param name unique among callers
 * @param tokenSha256 the SHA-256 of the caller's bearer token, as 64 lower-case hexadecimal digits
 * @param weight its fair share relative to the other callers, above 0
 * @param priority the highest priority that its requests may have
 */
public record Caller(String name, String tokenSha256, int weight, Priority priority) {}
