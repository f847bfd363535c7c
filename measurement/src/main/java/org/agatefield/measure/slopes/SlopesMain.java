package org.agatefield.measure.slopes;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;

/** The entry point of the slope measurements. */
@Cli(
    name = "measure-slopes",
    description = "Measures how control plane cost grows with the fleet",
    commands = {
      MembersCommand.class,
      SocketsCommand.class,
      DocumentsCommand.class,
      DaemonsCommand.class
    })
public final class SlopesMain {
  private static final int USAGE = 2;
  private static final int FAILURE = 1;

  private SlopesMain() {}

  /** Runs one measurement; exits with 0 on success. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    var parser = new com.github.rvesse.airline.Cli<Callable<Integer>>(SlopesMain.class);
    try {
      return parser.parse(arguments).call();
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return USAGE;
    } catch (Exception exception) {
      System.err.println("unexpected error: " + exception);
      exception.printStackTrace();
      return FAILURE;
    }
  }
}
