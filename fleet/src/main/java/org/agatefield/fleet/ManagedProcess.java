package org.agatefield.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.Address;

/**
 * A process that the fleet started. Safe for use by any thread.
 *
 * <p>Invariant: signals go only to the process itself, by its id.
 */
public final class ManagedProcess implements AutoCloseable {
  private static final long SIGNAL_SECONDS = 10;
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

  /** Returns the name that the fleet knows the process by. */
  public String name() {
    return name;
  }

  /** Returns where the process listens. */
  public Address address() {
    return address;
  }

  /** Returns the process's identifier. */
  public long identifier() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(SIGNAL_SECONDS);
  }

  /** Asks the process to end. */
  public void terminate() {
    process.destroy();
  }

  /** Stops the process from running until {@link #resume()}. */
  public void pause() {
    signal("STOP");
  }

  /** Lets a paused process go on. */
  public void resume() {
    signal("CONT");
  }

  /** Waits until the process has ended and returns its exit code. */
  public int awaitExit(long seconds) {
    try {
      if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
        throw new FleetException(name + " did not end within " + seconds + " s");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
    return process.exitValue();
  }

  /** Returns everything that the process has logged. */
  public String logText() {
    try {
      return Files.readString(log);
    } catch (IOException exception) {
      throw new FleetException("the log of " + name + " cannot be read", exception);
    }
  }

  /** Returns the last lines that the process has logged. */
  public String logTail() {
    List<String> lines = logText().lines().toList();
    int from = Math.max(0, lines.size() - LOG_TAIL_LINES);
    return String.join(System.lineSeparator(), lines.subList(from, lines.size()));
  }

  private void signal(String signal) {
    try {
      Process sender =
          new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (!sender.waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS) || sender.exitValue() != 0) {
        throw new FleetException("signal " + signal + " to " + name + " failed");
      }
    } catch (IOException exception) {
      throw new FleetException("signal " + signal + " to " + name + " failed", exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  /** Ends the process at once if it still runs, also a paused one. */
  @Override
  public void close() {
    if (process.isAlive()) {
      kill();
    }
  }
}
