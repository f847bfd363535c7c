package org.agatefield.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs {@code agatefieldctl} as a separate process and returns its output. Not thread-safe. */
final class CommandRunner {
  private static final String MAIN_CLASS = "org.agatefield.command.AgatefieldctlMain";

  /**
   * Returns the combined output of the command.
   *
   * @throws FleetException if the command cannot be started or exits with a nonzero code
   */
  String run(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
    command.addAll(List.of(arguments));
    try {
      Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
      String output =
          new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
      int code = process.waitFor();
      if (code != 0) {
        throw new FleetException(
            "agatefieldctl "
                + String.join(" ", arguments)
                + " exited with code "
                + code
                + ": "
                + output);
      }
      return output;
    } catch (IOException exception) {
      throw new FleetException("agatefieldctl cannot be started", exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }
}
