package org.agatefield.daemon.core;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;
import org.agatefield.model.PlainService;

/**
 * Describes a call of a plain service that must run at most once. Immutable.
 *
 * @param requestId unique identifier of this arrival of the call, for logs
 * @param caller the caller's name; equal keys of different callers are unrelated
 * @param service the service
 * @param method the HTTP method
 * @param path the path and query below {@code /services/name}
 * @param key the caller's idempotency key
 * @param bodySha256 the SHA-256 of method, path and body, as hexadecimal digits
 * @param remaining time until the deadline
 */
public record NonRepeatableCall(
    String requestId,
    String caller,
    PlainService service,
    String method,
    String path,
    String key,
    String bodySha256,
    Duration remaining) {

  /** Sends the call to an upstream. */
  @FunctionalInterface
  public interface Sender {
    /**
     * Sends the call once, with the idempotency key, and returns the complete response.
     *
     * <p>The future fails with an {@link org.agatefield.model.AgatefieldException}; its run state
     * is {@code NO} only if no byte reached the upstream.
     */
    CompletableFuture<ServiceResponse> send(Address upstream);
  }
}
