package org.agatefield.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.Address;

/**
 * Starts the project's programs as separate processes with the class path of the current JVM. Not
 * thread-safe.
 */
final class ProgramLauncher {
  private static final List<String> JAVA_OPTIONS =
      List.of("-XX:+UseSerialGC", "-Xss512k", "-XX:+ExitOnOutOfMemoryError");
  private static final String FAST_STARTUP_COMPILATION = "-XX:TieredStopAtLevel=1";

  private final Path runDirectory;
  private boolean fullCompilation;

  ProgramLauncher(Path runDirectory) {
    this.runDirectory = runDirectory;
    try {
      Files.createDirectories(runDirectory);
    } catch (IOException exception) {
      throw new FleetException("cannot create run directory " + runDirectory, exception);
    }
  }

  /** Enables full JIT compilation, which makes programs faster but costs CPU time at startup. */
  void useFullCompilation() {
    fullCompilation = true;
  }

  Path runDirectory() {
    return runDirectory;
  }

  /**
   * Starts a program; its output is appended to {@code name.log} in the run directory.
   *
   * @param maximumMegabytes the maximum heap size
   * @param options additional JVM options
   */
  ManagedProcess start(
      String name,
      Address address,
      int maximumMegabytes,
      List<String> options,
      String mainClass,
      List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_OPTIONS);
    if (!fullCompilation) {
      command.add(FAST_STARTUP_COMPILATION);
    }
    command.add("-Xmx" + maximumMegabytes + "m");
    command.addAll(options);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(arguments);
    Path log = runDirectory.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
    try {
      return new ManagedProcess(name, builder.start(), address, log);
    } catch (IOException exception) {
      throw new FleetException(name + " cannot be started", exception);
    }
  }
}
