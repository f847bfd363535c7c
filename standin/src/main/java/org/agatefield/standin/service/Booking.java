package org.agatefield.standin.service;

/**
 * A booking as returned by the service. Immutable.
 *
 * @param id the booking's identifier
 * @param key the idempotency key of the call; empty if none
 * @param execution the number of executions with that key, including this one
 * @param requestChecksum the CRC32 of the request body, as hexadecimal digits
 * @param filler padding that enlarges the response
 */
public record Booking(
    String id, String key, int execution, String requestChecksum, String filler) {}
