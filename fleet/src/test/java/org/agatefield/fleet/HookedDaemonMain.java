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
 * A daemon that ends or waits the first time it reaches a named step.
 *
 * <p>System properties say where and how: {@code test.step} is a name of {@link FailPoint}; {@code
 * test.subject} is part of the step's subject; {@code test.action} is {@code halt} or {@code wait};
 * {@code test.marker} is a file that is made when the step is reached. A waiting daemon goes on
 * once a file of that name with {@code .go} behind it exists.
 */
public final class HookedDaemonMain {
  private static final long POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int HALT_CODE = 99;

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
        act(marker, halt);
      }
    };
  }

  private static void act(Path marker, boolean halt) {
    try {
      Files.createFile(marker);
    } catch (IOException exception) {
      throw new IllegalStateException("the marker cannot be made: " + marker, exception);
    }
    if (halt) {
      Runtime.getRuntime().halt(HALT_CODE);
    }
    Path go = Path.of(marker + ".go");
    while (!Files.exists(go)) {
      LockSupport.parkNanos(POLL_NANOSECONDS);
    }
  }
}
