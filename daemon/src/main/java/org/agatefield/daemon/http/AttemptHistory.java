package org.agatefield.daemon.http;

import java.util.Optional;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.model.VersionId;

/**
 * Tracks whether any attempt of a request was run by an upstream.
 *
 * <p>Invariant: a final failure has {@link RunState#NO} only if every attempt is known not to have
 * run. Not safe for use by several threads.
 */
final class AttemptHistory {
  private RunState worst = RunState.NO;
  private Optional<VersionId> version = Optional.empty();
  private Optional<AgatefieldException> lastFailure = Optional.empty();

  /** Records that an attempt was sent to a replica of a version. */
  void sent(Optional<VersionId> attemptVersion) {
    version = attemptVersion;
  }

  /** Records that an attempt failed. */
  void failed(AgatefieldException failure) {
    if (failure.runState() != RunState.NO) {
      lastFailure = Optional.of(failure);
    }
    worst = worse(worst, failure.runState());
  }

  /** Records that this instance aborted an attempt. */
  void interrupted(boolean running, int writtenTokens) {
    if (writtenTokens > 0) {
      worst = RunState.YES;
    } else if (running) {
      worst = worse(worst, RunState.UNKNOWN);
    }
  }

  /**
   * Returns whether the answer may continue with a version; once tokens are written, it must be the
   * same one.
   */
  boolean accepts(Optional<VersionId> nextVersion, int writtenTokens) {
    return writtenTokens == 0 || version.equals(nextVersion);
  }

  /** Returns the failure for a stream that only another version could continue. */
  AgatefieldException versionUnavailable() {
    return new AgatefieldException(
        ErrorKind.UPSTREAM_ANSWER_CUT, "no other replica of the answer's version is available");
  }

  /** Returns the failure reported to the caller when {@code failure} ends the request. */
  AgatefieldException finalFailure(AgatefieldException failure) {
    if (worst == RunState.NO) {
      return failure;
    }
    AgatefieldException reported = failure;
    if (failure.runState() == RunState.NO) {
      reported = lastFailure.orElse(failure);
    }
    return new AgatefieldException(
        reported.kind(), worst, reported.getMessage(), failure.retryAfter().orElse(null), failure);
  }

  /** Returns the failure reported to the caller when the deadline ends the request. */
  AgatefieldException deadlineFailure() {
    if (worst == RunState.NO) {
      return new AgatefieldException(
          ErrorKind.DEADLINE_UNREACHABLE, "the deadline passed before the request was started");
    }
    return new AgatefieldException(
        ErrorKind.DEADLINE_EXCEEDED, worst, "the deadline passed during the request", null, null);
  }

  /** Returns the failure reported to the caller when the end of this instance ends the request. */
  AgatefieldException shutdownFailure() {
    if (worst == RunState.NO) {
      return new AgatefieldException(
          ErrorKind.SHUTTING_DOWN, "this instance stopped before the request was started");
    }
    return new AgatefieldException(
        ErrorKind.DEADLINE_EXCEEDED, worst, "this instance stopped during the request", null, null);
  }

  private static RunState worse(RunState one, RunState other) {
    if (one == RunState.YES || other == RunState.YES) {
      return RunState.YES;
    }
    return one == RunState.UNKNOWN ? one : other;
  }
}
