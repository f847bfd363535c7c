package org.agatefield.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.model.Address;

/** Starts a small fleet, configures it and sends one request of each kind. Not thread-safe. */
final class Quickstart {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final String IDEMPOTENCY_KEY = "quickstart-booking-1";
  private static final String BOOKING = "{\"visit\":\"school 12\",\"day\":\"2026-12-07\"}";

  private final LocalFleet fleet;
  private final Path runDirectory;
  private final CommandRunner commands;
  private final PrintStream output;

  Quickstart(LocalFleet fleet, Path runDirectory, PrintStream output) {
    this.fleet = fleet;
    this.runDirectory = runDirectory;
    this.commands = new CommandRunner();
    this.output = output;
  }

  void run() {
    output.println("1. start the stand-ins of the platform and of the upstreams");
    fleet.startPlatform();
    fleet.startUpstreams();
    output.println("2. start three daemons");
    fleet.startDaemons();
    applyConfiguration();
    fleet.awaitServing();
    Address entry = requestEntry();
    sendModelRequests(entry);
    sendBookings();
    output.println("booking executed " + executions() + " time");
    if (executions() != 1) {
      throw new FleetException("the booking service reported " + executions() + " executions");
    }
  }

  private void applyConfiguration() {
    output.println("3. apply the sample configuration with agatefieldctl config apply");
    Path file = runDirectory.resolve("configuration.json");
    try {
      Files.writeString(file, ConfigurationWriter.toText(fleet.configuration()));
    } catch (IOException exception) {
      throw new FleetException(file + " cannot be written", exception);
    }
    output.println(
        commands.run(
            "config",
            "apply",
            "--entry",
            fleet.address("entry-1").toString(),
            "--token",
            LocalFleet.OPERATOR_TOKEN,
            file.toString()));
  }

  private Address requestEntry() {
    output.println("4. ask an instance which entry to use for the model summaries");
    FleetHttp.Answer answer =
        FleetHttp.await(
            fleet.http().get(fleet.address("entry-2"), "/v1/entries?model=summaries"),
            CALL_TIMEOUT);
    output.println(answer.text());
    try {
      String address = MAPPER.readTree(answer.text()).at("/addresses/0").asText();
      return Address.parse(address);
    } catch (JsonProcessingException | IllegalArgumentException exception) {
      throw new FleetException("no entry address in the response: " + answer.text(), exception);
    }
  }

  private void sendModelRequests(Address entry) {
    output.println("5. one chat completion over " + entry + ", streamed token by token");
    output.println(send(entry, List.of("--model", "summaries", "--prompt", "Fog in pane 3")));
    output.println("6. one request to an adapter");
    output.println(send(entry, List.of("--model", "summaries-monsoon", "--prompt", "Wet week")));
  }

  private void sendBookings() {
    output.println("7. one booking, sent twice with the same key to two instances");
    List<String> booking =
        List.of(
            "--service",
            "booking",
            "--path",
            "/bookings",
            "--body",
            BOOKING,
            "--key",
            IDEMPOTENCY_KEY);
    String first = send(fleet.address("entry-1"), booking);
    String second = send(fleet.address("entry-3"), booking);
    output.println("entry-1: " + first);
    output.println("entry-3: " + second);
    if (!first.equals(second)) {
      throw new FleetException("the responses to the same booking differ");
    }
  }

  private String send(Address entry, List<String> options) {
    List<String> arguments = new ArrayList<>(List.of("send", "--entry", entry.toString()));
    arguments.addAll(options);
    return commands.run(arguments.toArray(String[]::new));
  }

  private long executions() {
    FleetHttp.Answer answer =
        FleetHttp.await(fleet.http().get(fleet.address("booking-1"), "/executions"), CALL_TIMEOUT);
    try {
      return MAPPER.readTree(answer.text()).path("total").asLong();
    } catch (JsonProcessingException exception) {
      throw new FleetException("no execution count in the response: " + answer.text(), exception);
    }
  }
}
