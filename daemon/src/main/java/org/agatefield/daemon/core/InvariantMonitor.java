package org.agatefield.daemon.core;

import java.util.function.Supplier;

/**
 * Collects violations of the promises, each with its evidence; a violation is logged and counted.
 *
 * <p>Safe for use by any thread.
 */
public interface InvariantMonitor {
  /** The promises that are checked while the daemon runs. */
  enum Invariant {
    /** Accelerator memory is never overcommitted. */
    MEMORY,
    /** Every deployed model stays reachable. */
    REACHABILITY,
    /** Each caller receives the whole answer to its own request. */
    WHOLE_ANSWER,
    /** A refusal that says "not run" is true. */
    TRUE_REFUSAL,
    /** What must not repeat runs at most once. */
    AT_MOST_ONCE,
    /** A leaving upstream receives no new work. */
    LEAVING_UPSTREAM,
    /** A graceful shutdown cuts no request. */
    GRACEFUL_SHUTDOWN,
    /** An accepted configuration never reverts. */
    CONFIGURATION
  }

  /** Reports a violation if {@code holds} is false. */
  void check(Invariant promise, boolean holds, Supplier<String> evidence);

  /** Returns the number of violations so far. */
  long violations();
}
