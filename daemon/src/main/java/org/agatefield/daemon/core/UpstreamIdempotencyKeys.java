package org.agatefield.daemon.core;

/**
 * Creates the idempotency keys that are sent to services. Stateless.
 *
 * <p>Invariant: different configured callers get different keys, even if they chose the same text;
 * otherwise a service queried for an outcome could return one caller's response to another. Caller
 * names contain no colon.
 */
public final class UpstreamIdempotencyKeys {
  /** The caller name of all requests while no callers are configured. */
  public static final String ANONYMOUS_CALLER = "anonymous";

  private UpstreamIdempotencyKeys() {}

  /** Returns the key sent to the service; the caller's own key if no callers are configured. */
  public static String of(String caller, String key) {
    return caller.equals(ANONYMOUS_CALLER) ? key : caller + ":" + key;
  }
}
