package org.agatefield.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;

/** Shows the help. */
@Command(name = "help", description = "Shows this help")
public final class HelpCommand implements Callable<CommandExitCode> {
  @AirlineModule private GlobalMetadata<Callable<CommandExitCode>> global;

  @Override
  public CommandExitCode call() throws IOException {
    Help.help(global, List.of());
    return CommandExitCode.SUCCESS;
  }
}
