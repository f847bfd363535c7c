package org.agatefield.daemon.core;

import java.util.function.Supplier;

/**
 * Logs and counts violations of the system's invariants, each with its evidence.
 *
 * <p>Thread-safe.
 */
public interface InvariantMonitor {
  /** The invariants checked while the daemon runs. */
  enum Invariant {
    /** Accelerator memory is never overcommitted. */
    MEMORY,
    /** Every deployed model remains reachable. */
    REACHABILITY,
    /** Each caller receives the complete response to its own request. */
    WHOLE_ANSWER,
    /** A request refused as "not run" was not run. */
    TRUE_REFUSAL,
    /** A non-repeatable call runs at most once. */
    AT_MOST_ONCE,
    /** A leaving upstream receives no new requests. */
    LEAVING_UPSTREAM,
    /** A graceful shutdown interrupts no request. */
    GRACEFUL_SHUTDOWN,
    /** An accepted configuration is never reverted. */
    CONFIGURATION
  }

  /** Reports a violation if {@code holds} is false. */
  void check(Invariant promise, boolean holds, Supplier<String> evidence);

  /** Returns the number of violations so far. */
  long violations();
}
