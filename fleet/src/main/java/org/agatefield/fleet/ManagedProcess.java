package org.agatefield.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.Address;

/**
 * A process started by the fleet. Thread-safe.
 *
 * <p>Invariant: signals are sent only to this process, by its id.
 */
public final class ManagedProcess implements AutoCloseable {
  private static final long SIGNAL_TIMEOUT_SECONDS = 10;
  private static final int LOG_TAIL_LINES = 15;

  private final String name;
  private final Process process;
  private final Address address;
  private final Path log;

  ManagedProcess(String name, Process process, Address address, Path log) {
    this.name = name;
    this.process = process;
    this.address = address;
    this.log = log;
  }

  /** Returns the name of the process in the fleet. */
  public String name() {
    return name;
  }

  /** Returns the address on which the process listens. */
  public Address address() {
    return address;
  }

  /** Returns the process id. */
  public long identifier() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(SIGNAL_TIMEOUT_SECONDS);
  }

  /** Requests a graceful shutdown without waiting for it. */
  public void terminate() {
    process.destroy();
  }

  /** Suspends the process until {@link #resume()}. */
  public void pause() {
    signal("STOP");
  }

  /** Resumes a paused process. */
  public void resume() {
    signal("CONT");
  }

  /**
   * Waits for the process to exit and returns its exit code.
   *
   * @throws FleetException if the process does not exit in time
   */
  public int awaitExit(long seconds) {
    try {
      if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
        throw new FleetException(name + " did not exit within " + seconds + " s");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
    return process.exitValue();
  }

  /** Returns the complete log of the process. */
  public String logText() {
    try {
      return Files.readString(log);
    } catch (IOException exception) {
      throw new FleetException("the log of " + name + " cannot be read", exception);
    }
  }

  /** Returns the last lines of the log. */
  public String logTail() {
    List<String> lines = logText().lines().toList();
    int from = Math.max(0, lines.size() - LOG_TAIL_LINES);
    return String.join(System.lineSeparator(), lines.subList(from, lines.size()));
  }

  private void signal(String signal) {
    try {
      Process sender =
          new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (!sender.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || sender.exitValue() != 0) {
        throw new FleetException("signal " + signal + " to " + name + " failed");
      }
    } catch (IOException exception) {
      throw new FleetException("signal " + signal + " to " + name + " failed", exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  /** Kills the process if it is still running, even if it is paused. */
  @Override
  public void close() {
    if (process.isAlive()) {
      kill();
    }
  }
}
