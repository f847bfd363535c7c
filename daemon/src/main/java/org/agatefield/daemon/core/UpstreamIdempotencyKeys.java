package org.agatefield.daemon.core;

/**
 * Idempotency keys as services see them. Stateless.
 *
 * <p>Invariant: keys of different configured callers are different, also when the callers chose the
 * same text; otherwise a service that is asked for an outcome could give one caller the answer of
 * another. The names of callers hold no colon.
 */
public final class UpstreamIdempotencyKeys {
  /** The caller of every request while no callers are configured. */
  public static final String ANONYMOUS_CALLER = "anonymous";

  private UpstreamIdempotencyKeys() {}

  /** Returns the key that is passed on to the service; the caller's own if callers are unknown. */
  public static String of(String caller, String key) {
    return caller.equals(ANONYMOUS_CALLER) ? key : caller + ":" + key;
  }
}
