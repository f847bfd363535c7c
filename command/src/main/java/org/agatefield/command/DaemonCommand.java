package org.agatefield.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.agatefield.model.Address;

/** Base class of commands that call a daemon. For use by one thread. */
abstract class DaemonCommand implements Callable<CommandExitCode> {
  private static final String TOKEN_VARIABLE = "AGATEFIELD_TOKEN";

  @Option(
      name = {"--entry"},
      title = "IP:PORT",
      description = "The daemon to call")
  @Required
  @Once
  protected String entry;

  @Option(
      name = {"--token"},
      title = "TOKEN",
      description = "The bearer token; default: the environment variable AGATEFIELD_TOKEN")
  @Once
  protected String token;

  /** Returns the daemon's address. */
  protected Address entryAddress() {
    try {
      return Address.parse(entry);
    } catch (IllegalArgumentException exception) {
      throw new CommandException(CommandExitCode.USAGE, "--entry: " + exception.getMessage());
    }
  }

  /** Opens a client that sends the bearer token, if one was given. */
  protected DaemonClient openClient() {
    return new DaemonClient(entryAddress(), authorization());
  }

  /** Returns the header with the bearer token; no header if no token was given. */
  protected Map<String, String> authorization() {
    Optional<String> given =
        Optional.ofNullable(token).or(() -> Optional.ofNullable(System.getenv(TOKEN_VARIABLE)));
    return given.map(value -> Map.of("Authorization", "Bearer " + value)).orElse(Map.of());
  }

  /**
   * Prints an answer: its body to the standard output if the request succeeded, otherwise to the
   * standard error.
   */
  protected CommandExitCode print(HttpAnswer answer) {
    if (answer.status() < 300) {
      System.out.println(answer.body());
      return CommandExitCode.SUCCESS;
    }
    System.err.println("HTTP " + answer.status() + ": " + answer.body());
    answer.retryAfter().ifPresent(delay -> System.err.println("retry after " + delay + " s"));
    return CommandExitCode.ofStatus(answer.status());
  }
}
