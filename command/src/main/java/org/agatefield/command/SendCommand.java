package org.agatefield.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;

/** Sends one request as a caller and prints the answer as it arrives. */
@Command(name = "send", description = "Sends one request to a model or a service")
public final class SendCommand extends DaemonCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(
      name = {"--model"},
      title = "NAME",
      description = "The deployment or adapter")
  @Once
  private String model;

  @Option(
      name = {"--prompt"},
      title = "TEXT",
      description = "The prompt")
  @Once
  private String prompt = "Hello";

  @Option(
      name = {"--maximum-tokens"},
      title = "N",
      description = "Maximum number of tokens to generate")
  @Once
  private int maximumTokens = 16;

  @Option(
      name = {"--whole"},
      description = "Asks for the answer in one piece instead of a stream")
  private boolean whole;

  @Option(
      name = {"--service"},
      title = "NAME",
      description = "The plain service to call instead of a model")
  @Once
  private String service;

  @Option(
      name = {"--method"},
      title = "METHOD",
      description = "The HTTP method of a service call")
  @Once
  private String method = "POST";

  @Option(
      name = {"--path"},
      title = "PATH",
      description = "The path relative to the service")
  @Once
  private String path = "/";

  @Option(
      name = {"--body"},
      title = "JSON",
      description = "The body of a service call")
  @Once
  private String body = "";

  @Option(
      name = {"--key"},
      title = "KEY",
      description = "The idempotency key of a service call")
  @Once
  private String key;

  @Override
  public CommandExitCode call() {
    if ((model == null) == (service == null)) {
      throw new CommandException(CommandExitCode.USAGE, "give either --model or --service");
    }
    return model != null ? sendToModel() : sendToService();
  }

  private CommandExitCode sendToModel() {
    ObjectNode request = MAPPER.createObjectNode();
    request.put("model", model);
    request.put("stream", !whole);
    request.put("max_tokens", maximumTokens);
    request.putArray("messages").addObject().put("role", "user").put("content", prompt);
    try (DaemonClient client = openClient()) {
      if (whole) {
        return print(
            client.send(
                HttpMethod.POST, "/v1/chat/completions", request.toString(), jsonHeaders()));
      }
      StreamPrinter printer = new StreamPrinter(System.out);
      HttpAnswer answer =
          client.send(
              HttpMethod.POST,
              "/v1/chat/completions",
              request.toString(),
              jsonHeaders(),
              printer::part);
      if (answer.status() >= 300) {
        return print(answer);
      }
      return printer.finish() ? CommandExitCode.SUCCESS : CommandExitCode.FAILURE;
    }
  }

  private CommandExitCode sendToService() {
    Map<String, String> headers = new HashMap<>(jsonHeaders());
    if (key != null) {
      headers.put("Idempotency-Key", key);
    }
    try (DaemonClient client = openClient()) {
      return print(
          client.send(HttpMethod.valueOf(method), "/services/" + service + path, body, headers));
    }
  }

  private static Map<String, String> jsonHeaders() {
    return Map.of("Content-Type", "application/json");
  }
}
