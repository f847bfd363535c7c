package org.agatefield.configuration.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class CheckRunTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int run(Duration limit, CheckRun.Check check) {
    return new CheckRun(new PrintStream(output), new PrintStream(errors), limit)
        .run("file", false, check);
  }

  private int run(CheckRun.Check check) {
    return run(Duration.ofSeconds(30), check);
  }

  private static CheckReport report(CheckFinding... findings) {
    return new CheckReport(List.of(findings), Optional.empty());
  }

  @Test
  void exitCodeIsZeroForWarningsAndOneForErrors() {
    CheckFinding warning = CheckFinding.warning("$.a", "b", "c");
    assertEquals(CheckRun.VALID, run(() -> report(warning)));
    CheckFinding error =
        new CheckFinding(
            CheckFinding.Severity.ERROR, "$.a", warning.line(), "\u001b[31mred", "\nline");
    assertEquals(CheckRun.ERRORS, run(() -> report(warning, error)));
    assertFalse(output.toString(StandardCharsets.UTF_8).contains("\u001b"));
  }

  @Test
  void checkThatFailsEndsInMessageWithoutStackTrace() {
    assertEquals(
        CheckRun.NOT_RUN,
        run(
            () -> {
              throw new IOException("no such file");
            }));
    assertEquals(
        CheckRun.NOT_RUN,
        run(
            () -> {
              throw new StackOverflowError("secret");
            }));
    String printed = errors.toString(StandardCharsets.UTF_8);
    assertTrue(printed.contains("no such file"), printed);
    assertFalse(printed.contains("\tat ") || printed.contains("secret"), printed);
  }

  @Test
  void checkThatTakesTooLongEndsInMessage() {
    CountDownLatch never = new CountDownLatch(1);
    assertEquals(
        CheckRun.NOT_RUN,
        run(
            Duration.ofMillis(50),
            () -> {
              try {
                never.await();
              } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
              }
              return report();
            }));
    never.countDown();
    assertTrue(errors.toString(StandardCharsets.UTF_8).contains("not finished"));
  }

  @Test
  void fileThatDoesNotExistIsNotChecked() {
    assertEquals(
        CheckRun.NOT_RUN,
        run(
            () -> {
              CheckRun.read("/nonexistent/file.json", 10);
              return report();
            }));
  }
}
