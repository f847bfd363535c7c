package org.agatefield.daemon.http;

import java.util.Optional;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.model.VersionId;

/**
 * What is known about whether any attempt of a request was run.
 *
 * <p>Invariant: a final failure says "not run" only if every attempt is known not to have run.
 * Confined to the context of its request.
 */
final class AttemptHistory {
  private RunState worst = RunState.NO;
  private Optional<VersionId> version = Optional.empty();
  private Optional<AgatefieldException> lastFailure = Optional.empty();

  /** Records that an attempt is sent to a version. */
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

  /** Records that an attempt is given up for a reason of ours. */
  void interrupted(boolean running, int writtenTokens) {
    if (writtenTokens > 0) {
      worst = RunState.YES;
    } else if (running) {
      worst = worse(worst, RunState.UNKNOWN);
    }
  }

  /** Returns whether an answer of which tokens were written may go on with a version. */
  boolean accepts(Optional<VersionId> nextVersion, int writtenTokens) {
    return writtenTokens == 0 || version.equals(nextVersion);
  }

  /** Returns the failure of a stream that could only go on with another version. */
  AgatefieldException versionUnavailable() {
    return new AgatefieldException(
        ErrorKind.UPSTREAM_ANSWER_CUT, "no other replica of the answer's version is left");
  }

  /** Returns what the caller is told when {@code failure} ends the request. */
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

  /** Returns what the caller is told when the deadline ends the request. */
  AgatefieldException deadlineFailure() {
    if (worst == RunState.NO) {
      return new AgatefieldException(
          ErrorKind.DEADLINE_UNREACHABLE, "the deadline passed before the request was started");
    }
    return new AgatefieldException(
        ErrorKind.DEADLINE_EXCEEDED, worst, "the deadline passed during the request", null, null);
  }

  private static RunState worse(RunState one, RunState other) {
    if (one == RunState.YES || other == RunState.YES) {
      return RunState.YES;
    }
    return one == RunState.UNKNOWN ? one : other;
  }
}
