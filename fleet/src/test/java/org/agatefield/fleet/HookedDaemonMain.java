package org.agatefield.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.agatefield.daemon.AgatefieldMain;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.daemon.core.FailPointHook;

/**
 * Runs a daemon that halts or blocks the first time it reaches a given fail point.
 *
 * <p>Configured by system properties: {@code test.step} is the name of a {@link FailPoint}; {@code
 * test.subject} is a substring of the step's subject; {@code test.action} is {@code halt} or {@code
 * wait}; {@code test.marker} is a file that is created when the step is reached. A blocked daemon
 * resumes once a file with the marker's name and the suffix {@code .go} exists.
 */
public final class HookedDaemonMain {
  private static final long POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int HALT_EXIT_CODE = 99;

  private HookedDaemonMain() {}

  /** Runs the daemon. */
  public static void main(String[] arguments) {
    String step = System.getProperty("test.step", "");
    AgatefieldMain.run(
        arguments, step.isEmpty() ? FailPointHook.NONE : hook(FailPoint.valueOf(step)));
  }

  private static FailPointHook hook(FailPoint wanted) {
    String subject = System.getProperty("test.subject", "");
    boolean halt = System.getProperty("test.action", "wait").equals("halt");
    Path marker = Path.of(System.getProperty("test.marker"));
    AtomicBoolean reached = new AtomicBoolean();
    return (step, actualSubject) -> {
      boolean matches = step == wanted && actualSubject.contains(subject);
      if (matches && reached.compareAndSet(false, true)) {
        haltOrBlock(marker, halt);
      }
    };
  }

  private static void haltOrBlock(Path marker, boolean halt) {
    try {
      Files.createFile(marker);
    } catch (IOException exception) {
      throw new IllegalStateException("cannot create marker file " + marker, exception);
    }
    if (halt) {
      Runtime.getRuntime().halt(HALT_EXIT_CODE);
    }
    Path resumeFile = Path.of(marker + ".go");
    while (!Files.exists(resumeFile)) {
      LockSupport.parkNanos(POLL_NANOSECONDS);
    }
  }
}
