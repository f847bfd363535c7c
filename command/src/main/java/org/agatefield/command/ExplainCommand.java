package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Explains a routing or placement decision. */
@Command(
    name = "explain",
    description = "Explains the routing of a request or the placement of a version")
public final class ExplainCommand extends DaemonCommand {
  @Option(
      name = {"--request"},
      title = "ID",
      description = "The request, by the X-Request-Id of its answer")
  @Once
  private String request;

  @Option(
      name = {"--version"},
      title = "DEPLOYMENT@VERSION",
      description = "The version")
  @Once
  private String version;

  @Override
  public CommandExitCode call() {
    if ((request == null) == (version == null)) {
      throw new CommandException(CommandExitCode.USAGE, "give either --request or --version");
    }
    String path =
        request != null
            ? "/operator/explain/request?id=" + encode(request)
            : "/operator/explain/placement?version=" + encode(version);
    try (DaemonClient client = openClient()) {
      return print(client.get(path));
    }
  }

  private static String encode(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8);
  }
}
