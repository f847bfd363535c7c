package org.agatefield.model;

import java.util.List;
import java.util.Optional;

/**
 * A service beside the model engines. Immutable.
 *
 * @param name the name in {@code /services/name/...}
 * @param calls the first entry whose method and prefix match decides; a call with no match must not
 *     repeat unless its method is GET or HEAD
 * @param outcomePath where the service tells the outcome of an idempotency key, with {@code {key}}
 *     in place of the key; empty if it cannot be asked
 * @param timeoutMilliseconds how long a call may run
 */
public record PlainService(
    String name, List<ServiceCall> calls, Optional<String> outcomePath, long timeoutMilliseconds) {
  /** Copies the list. */
  public PlainService {
    calls = List.copyOf(calls);
  }

  /** Returns whether the call may be run more than once. */
  public boolean isRepeatable(String method, String path) {
    for (ServiceCall call : calls) {
      if (call.method().equals(method) && path.startsWith(call.pathPrefix())) {
        return call.repeatable();
      }
    }
    return method.equals("GET") || method.equals("HEAD");
  }
}
