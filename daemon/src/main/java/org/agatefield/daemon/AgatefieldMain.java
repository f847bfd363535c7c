package org.agatefield.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.settings.DaemonSettings;
import org.agatefield.settings.SettingsException;
import org.agatefield.settings.SettingsReader;
import org.apache.logging.log4j.LogManager;

/** The daemon's entry point. */
@Command(name = "agatefield", description = "Serves many language models from few accelerators")
public final class AgatefieldMain {
  @Option(
      name = {"--settings"},
      title = "FILE",
      description = "Runs the daemon with these TOML settings")
  @Once
  private String settingsFile;

  @Option(
      name = {"--check-settings"},
      title = "FILE",
      description = "Checks the settings, names every fault and ends")
  @Once
  private String checkedFile;

  @Option(
      name = {"-h", "--help"},
      description = "Shows this help")
  private boolean help;

  /** Parses the command line and runs the daemon until it is asked to end. */
  public static void main(String[] arguments) {
    run(arguments, FailPointHook.NONE);
  }

  /**
   * Runs the daemon with a hook that is told of its steps.
   *
   * @param hook {@link FailPointHook#NONE} outside tests
   */
  public static void run(String[] arguments, FailPointHook hook) {
    ExitCode code = new AgatefieldMain().parseAndRun(arguments, hook);
    if (code != ExitCode.SUCCESS) {
      System.exit(code.number());
    }
  }

  private ExitCode parseAndRun(String[] arguments, FailPointHook hook) {
    SingleCommand<AgatefieldMain> parser = SingleCommand.singleCommand(AgatefieldMain.class);
    AgatefieldMain parsed;
    try {
      parsed = parser.parse(arguments);
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return ExitCode.USAGE;
    }
    if (parsed.help) {
      return showHelp(parser, System.out, ExitCode.SUCCESS);
    }
    if (parsed.checkedFile != null) {
      return check(Path.of(parsed.checkedFile));
    }
    if (parsed.settingsFile == null) {
      return showHelp(parser, System.err, ExitCode.USAGE);
    }
    return runDaemon(Path.of(parsed.settingsFile), hook);
  }

  private static ExitCode showHelp(
      SingleCommand<AgatefieldMain> parser, PrintStream output, ExitCode code) {
    try {
      Help.help(parser.getCommandMetadata(), output);
    } catch (IOException exception) {
      System.err.println("the help cannot be shown: " + exception.getMessage());
      return ExitCode.FAILURE;
    }
    return code;
  }

  private static ExitCode check(Path file) {
    try {
      new SettingsReader().read(file.toString(), Files.readString(file));
    } catch (IOException exception) {
      System.err.println(file + ": cannot be read: " + exception.getMessage());
      return ExitCode.SETTINGS;
    } catch (SettingsException exception) {
      System.err.println(exception.getMessage());
      return ExitCode.SETTINGS;
    }
    System.out.println(file + ": all settings are allowed");
    return ExitCode.SUCCESS;
  }

  private static ExitCode runDaemon(Path file, FailPointHook hook) {
    DaemonSettings settings;
    try {
      settings = new SettingsReader().read(file.toString(), Files.readString(file));
    } catch (IOException exception) {
      System.err.println(file + ": cannot be read: " + exception.getMessage());
      return ExitCode.SETTINGS;
    } catch (SettingsException exception) {
      System.err.println(exception.getMessage());
      return ExitCode.SETTINGS;
    }
    LoggingSetup.apply(settings.log());
    Daemon daemon = new Daemon(settings, hook);
    try {
      daemon.start();
    } catch (ListenException exception) {
      LogManager.getLogger(AgatefieldMain.class).error("{}", exception.getMessage(), exception);
      return ExitCode.LISTEN;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    return ExitCode.SUCCESS;
  }

  /** Halts with a documented code, since a signal would otherwise decide the code. */
  private static void shutDown(Daemon daemon) {
    ExitCode code = daemon.shutDownGracefully() ? ExitCode.SUCCESS : ExitCode.DRAIN_TIMEOUT;
    LogManager.shutdown();
    Runtime.getRuntime().halt(code.number());
  }
}
