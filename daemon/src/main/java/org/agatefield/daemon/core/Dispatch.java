package org.agatefield.daemon.core;

import java.util.Optional;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Represents one attempt to serve a request at one upstream.
 *
 * <p>Invariant: attempt numbers are unique within the instance and increase with time, so that late
 * responses to earlier attempts can be distinguished. Thread-safe.
 */
public interface Dispatch {
  /** Returns the number of this attempt. */
  long attemptNumber();

  /** Returns the upstream to send the request to. */
  Upstream upstream();

  /** Returns the version to request from the runner; empty for a plain service. */
  Optional<VersionId> version();

  /** Returns the adapter that the runner must have loaded; empty if none. */
  Optional<String> adapter();

  /** Records that the first part of the response was received. */
  void responseStarted();

  /** Records the end of the attempt and releases its capacity; later calls have no effect. */
  void finished(DispatchOutcome outcome);
}
