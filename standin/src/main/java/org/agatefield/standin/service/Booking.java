package org.agatefield.standin.service;

/**
 * A booking as the service answers it. Immutable.
 *
 * @param id the booking's identifier
 * @param key the idempotency key that it came with; empty if none
 * @param execution the number of executions with that key, this one included
 * @param requestChecksum the CRC32 of the request body, as hexadecimal digits
 * @param filler characters that make the answer large
 */
public record Booking(
    String id, String key, int execution, String requestChecksum, String filler) {}
