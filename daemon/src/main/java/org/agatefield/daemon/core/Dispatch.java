package org.agatefield.daemon.core;

import java.util.Optional;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * One attempt of a request at one upstream.
 *
 * <p>Invariant: attempt numbers are unique within the instance and rise with time, so that whatever
 * comes back for an earlier attempt can be told apart. Safe for use by any thread.
 */
public interface Dispatch {
  /** Returns the number of this attempt. */
  long attemptNumber();

  /** Returns where to send the request. */
  Upstream upstream();

  /** Returns the version to ask the runner for; empty for a plain service. */
  Optional<VersionId> version();

  /** Returns the adapter that the runner must have loaded; empty if none. */
  Optional<String> adapter();

  /** Records that the first part of the answer came. */
  void responseStarted();

  /** Records that the attempt is over and gives its place back; later calls do nothing. */
  void finished(DispatchOutcome outcome);
}
