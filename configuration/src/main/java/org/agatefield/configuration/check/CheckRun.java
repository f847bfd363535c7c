package org.agatefield.configuration.check;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs a check of a file within a time limit and prints its report.
 *
 * <p>Invariant: a check that fails or takes too long ends in a message and {@link #NOT_RUN}.
 * Immutable; safe for use by any thread.
 */
public final class CheckRun {
  /** Exit code: no errors. */
  public static final int VALID = 0;

  /** Exit code: at least one error. */
  public static final int ERRORS = 1;

  /** Exit code: the check could not run. */
  public static final int NOT_RUN = 2;

  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);

  private final PrintStream output;
  private final PrintStream errors;
  private final Duration timeLimit;

  /** Creates a run that prints reports to {@code output} and failures to {@code errors}. */
  public CheckRun(PrintStream output, PrintStream errors) {
    this(output, errors, TIME_LIMIT);
  }

  CheckRun(PrintStream output, PrintStream errors, Duration timeLimit) {
    this.output = output;
    this.errors = errors;
    this.timeLimit = timeLimit;
  }

  /** A check that may read files. */
  @FunctionalInterface
  public interface Check {
    /** Returns the report. */
    CheckReport run() throws IOException;
  }

  /**
   * Runs a check and returns the exit code.
   *
   * @param file the name of the checked file in the report
   * @param json whether the report is printed as JSON
   */
  public int run(String file, boolean json, Check check) {
    CompletableFuture<CheckReport> pending = CompletableFuture.supplyAsync(() -> report(check));
    try {
      CheckReport report = pending.get(timeLimit.toMillis(), TimeUnit.MILLISECONDS);
      output.println(json ? report.toJson().toPrettyString() : report.toText(file));
      return report.hasErrors() ? ERRORS : VALID;
    } catch (ExecutionException exception) {
      errors.println(file + ": not checked: " + describe(exception.getCause()));
    } catch (TimeoutException exception) {
      errors.println(file + ": not checked: not finished within " + timeLimit.toSeconds() + " s");
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      errors.println(file + ": not checked: interrupted");
    }
    return NOT_RUN;
  }

  /** Reads a file up to one byte above a limit, so that a larger one can be told apart. */
  public static byte[] read(String file, int maximumBytes) throws IOException {
    try (InputStream stream = Files.newInputStream(Path.of(file))) {
      return stream.readNBytes(maximumBytes + 1);
    } catch (InvalidPathException exception) {
      throw new IOException("not a path: " + exception.getReason(), exception);
    }
  }

  private static CheckReport report(Check check) {
    try {
      return check.run();
    } catch (IOException exception) {
      throw new CompletionException(exception);
    }
  }

  /** Describes a failure; only messages about files are known to quote no content. */
  private static String describe(Throwable failure) {
    return failure instanceof IOException
        ? "cannot be read: " + failure
        : "unexpected " + failure.getClass().getName();
  }
}
