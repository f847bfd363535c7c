package org.agatefield.model;

import java.util.List;
import java.util.Optional;

/**
 * A service that is not a model engine. Immutable.
 *
 * @param name the name in {@code /services/name/...}
 * @param calls the first entry whose method and prefix match decides; a call without a match is
 *     repeatable only if its method is GET or HEAD
 * @param outcomePath the path at which the service returns the outcome of an idempotency key, with
 *     {@code {key}} in place of the key; empty if outcomes cannot be queried
 * @param timeoutMilliseconds maximum duration of a call
 */
public record PlainService(
    String name, List<ServiceCall> calls, Optional<String> outcomePath, long timeoutMilliseconds) {
  /** Copies the list. */
  public PlainService {
    calls = List.copyOf(calls);
  }

  /** Returns whether the call may be executed more than once. */
  public boolean isRepeatable(String method, String path) {
    for (ServiceCall call : calls) {
      if (call.method().equals(method) && path.startsWith(call.pathPrefix())) {
        return call.repeatable();
      }
    }
    return method.equals("GET") || method.equals("HEAD");
  }
}
