package org.agatefield.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.agatefield.daemon.core.FailPoint;

/**
 * Injects a fault at a fail point of a daemon that runs {@link HookedDaemonMain}. Not thread-safe.
 */
public final class StepFault {
  private static final Duration REACH_TIMEOUT = Duration.ofSeconds(60);

  private final FailPoint step;
  private final String subject;
  private final String action;
  private final Path marker;

  private StepFault(FailPoint step, String subject, String action, Path marker) {
    this.step = step;
    this.subject = subject;
    this.action = action;
    this.marker = marker;
  }

  /** Returns a fault that halts the daemon at the step, as if killed. */
  public static StepFault halt(FailPoint step, String subject, Path marker) {
    return new StepFault(step, subject, "halt", marker);
  }

  /** Returns a fault that blocks the daemon at the step, as if paused, until {@link #goOn()}. */
  public static StepFault hold(FailPoint step, String subject, Path marker) {
    return new StepFault(step, subject, "wait", marker);
  }

  /** Returns the JVM options that configure the fault in the daemon. */
  public List<String> options() {
    return List.of(
        "-Dtest.step=" + step.name(),
        "-Dtest.subject=" + subject,
        "-Dtest.action=" + action,
        "-Dtest.marker=" + marker);
  }

  /** Returns whether the daemon has reached the step. */
  public boolean isReached() {
    return Files.exists(marker);
  }

  /** Waits until the daemon has reached the step. */
  public void awaitReached() {
    LocalFleet.await("step " + step + " is reached", REACH_TIMEOUT, this::isReached);
  }

  /** Resumes a daemon that is blocked at the step. */
  public void goOn() {
    try {
      Files.createFile(Path.of(marker + ".go"));
    } catch (IOException exception) {
      throw new FleetException("cannot create the file that resumes the daemon", exception);
    }
  }
}
