package org.agatefield.fleet.answers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.ModelRequests;
import org.agatefield.fleet.answers.StreamConnection.ReadAnswer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.standin.engine.TokenSequence;

/** Runs daemons, two engines that both have one model loaded, and one booking service. */
final class AnswerFleet implements AutoCloseable {
  static final Duration GENEROUS = Duration.ofSeconds(90);
  static final String MODEL = "quotes";
  static final List<String> DAEMONS = List.of("entry-1", "entry-2");
  static final List<String> ENGINES = List.of("engine-1", "engine-2");

  private static final String VERSION = MODEL + "@v1";
  private static final int PROBE_REQUESTS = 16;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  final LocalFleet fleet;

  AnswerFleet(Path directory, int daemons) {
    fleet = new LocalFleet(plan(daemons), directory);
    fleet.startAll();
    ENGINES.forEach(this::awaitHolding);
    fleet.plan().instances().forEach(entry -> awaitBothReplicasUsed(entry.name()));
  }

  /**
   * Waits until a daemon routes to both replicas, which happens some time after they are loaded.
   */
  void awaitBothReplicasUsed(String daemon) {
    LocalFleet.await(
        daemon + " routes to both replicas", GENEROUS, () -> routesToBothReplicas(daemon));
  }

  private boolean routesToBothReplicas(String daemon) {
    List<StreamConnection> streams =
        IntStream.range(0, PROBE_REQUESTS)
            .mapToObj(number -> stream(daemon, "probe-" + number, 5).startReading())
            .toList();
    List<String> requests = streams.stream().map(stream -> stream.readToEnd().requestId()).toList();
    return ENGINES.stream().allMatch(engine -> executedAny(engine, requests));
  }

  private boolean executedAny(String engine, List<String> requests) {
    String executions = read(engine, "/violations").path("executions").toString();
    return requests.stream().anyMatch(request -> executions.contains("\"" + request + "."));
  }

  private static FleetPlan plan(int daemons) {
    FailureDomain first = new FailureDomain("kochi", "kochi-a");
    FailureDomain second = new FailureDomain("kochi", "kochi-b");
    List<FleetPlan.Entry> entries =
        IntStream.rangeClosed(1, daemons)
            .mapToObj(number -> new FleetPlan.Entry("entry-" + number, first))
            .toList();
    return new FleetPlan(
        entries,
        List.of(
            new FleetPlan.Engine("engine-1", first, 40_000, true, 3, 64),
            new FleetPlan.Engine("engine-2", second, 40_000, false, 3, 64)),
        List.of(new FleetPlan.Service("booking-1", "booking", first)),
        List.of(new FleetPlan.Model(MODEL, 16_000, 2, List.of())),
        new FleetPlan.Weights(5, 6, 50));
  }

  /** Waits until an engine has loaded the model. */
  void awaitHolding(String engine) {
    LocalFleet.await(engine + " has loaded the model", GENEROUS, () -> hasLoadedModel(engine));
  }

  private boolean hasLoadedModel(String engine) {
    try {
      return read(engine, "/load").path("versions").toString().contains(VERSION);
    } catch (FleetException exception) {
      return false;
    }
  }

  StreamConnection stream(String daemon, String prompt, int tokens) {
    return connect(fleet.address(daemon), prompt, tokens);
  }

  /** Streams with a deadline that is reachable even at the pace of a fleet that just started. */
  StreamConnection streamWithLongDeadline(String daemon, String prompt, int tokens) {
    return new StreamConnection(
        fleet.address(daemon),
        ModelRequests.chat(MODEL, prompt, tokens, true),
        "X-Request-Deadline-Ms: 3600000\r\n");
  }

  StreamConnection connect(Address daemon, String prompt, int tokens) {
    return new StreamConnection(daemon, ModelRequests.chat(MODEL, prompt, tokens, true));
  }

  FleetHttp.Answer ask(String daemon, String body, Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    all.putIfAbsent("Content-Type", "application/json");
    return fleet.call(HttpMethod.POST, fleet.address(daemon), "/v1/chat/completions", all, body);
  }

  /** Returns the answer expected from a complete stream. */
  static ReadAnswer expected(String requestId, String prompt, int tokens) {
    String text = TokenSequence.of(VERSION, prompt + "\n", tokens).text();
    String checksum = TokenSequence.checksum(prompt + "\n", text);
    return new ReadAnswer(requestId, text, checksum, "", true);
  }

  void faults(String upstream, String json) {
    fleet.call(
        HttpMethod.POST,
        fleet.address(upstream),
        "/faults",
        Map.of("Content-Type", "application/json"),
        json);
  }

  JsonNode read(String process, String path) {
    return parse(fleet.call(HttpMethod.GET, fleet.address(process), path, Map.of(), "").text());
  }

  static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException exception) {
      throw new FleetException("answer is not JSON: " + json, exception);
    }
  }

  /** Returns the sum of a counter over all engines, as the engines report it. */
  int engineCount(String field) {
    return ENGINES.stream().mapToInt(name -> read(name, "/violations").path(field).asInt()).sum();
  }

  /** Returns whether any engine started a generation for a request. */
  boolean wasExecuted(String requestId) {
    return ENGINES.stream().anyMatch(engine -> executedAny(engine, List.of(requestId)));
  }

  long violations() {
    return fleet.processes().values().stream()
        .filter(process -> process.name().startsWith("entry-"))
        .mapToLong(
            process ->
                process.logText().lines().filter(line -> line.contains("violation ")).count())
        .sum();
  }

  @Override
  public void close() {
    fleet.close();
  }
}
