package org.agatefield.fleet.calls;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.HookedDaemonMain;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.StepFault;
import org.agatefield.model.FailureDomain;

/** Runs three daemons, a store and a booking service as processes. Not thread-safe. */
final class BookingFleet implements AutoCloseable {
  static final Duration GENEROUS = Duration.ofSeconds(90);

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String SERVICE = "booking-1";

  final LocalFleet fleet;
  private final Path directory;
  private int faults;

  BookingFleet(Path directory) {
    this.directory = directory;
    FailureDomain domain = new FailureDomain("kochi", "kochi-a");
    FleetPlan plan =
        new FleetPlan(
            List.of(
                new FleetPlan.Entry("entry-1", domain),
                new FleetPlan.Entry("entry-2", domain),
                new FleetPlan.Entry("entry-3", domain)),
            List.of(),
            List.of(new FleetPlan.Service(SERVICE, "booking", domain)),
            List.of(),
            new FleetPlan.Weights(1, 1, 1));
    fleet = new LocalFleet(plan, directory);
    fleet.withDaemonMain(HookedDaemonMain.class.getName());
    fleet.startPlatform();
    fleet.startUpstreams();
    fleet.startDaemons();
    fleet.apply(fleet.configuration());
    for (FleetPlan.Entry entry : plan.instances()) {
      awaitBooking(entry.name());
    }
  }

  /** Restarts a daemon with a fault that is triggered at a step for a key. */
  StepFault restartWith(String daemon, FailPoint step, String key, boolean halt) {
    Path marker = directory.resolve("marker-" + faults++);
    StepFault fault = halt ? StepFault.halt(step, key, marker) : StepFault.hold(step, key, marker);
    restart(daemon, fault.options());
    return fault;
  }

  /** Restarts a daemon without faults. */
  void restart(String daemon) {
    restart(daemon, List.of());
  }

  private void restart(String daemon, List<String> options) {
    fleet.process(daemon).close();
    fleet.withDaemonOptions(daemon, options);
    fleet.startDaemon(daemon);
    fleet.awaitAnswering(daemon);
    awaitBooking(daemon);
  }

  private void awaitBooking(String daemon) {
    LocalFleet.await(
        daemon + " routes to the booking service",
        GENEROUS,
        () ->
            fleet
                    .call(
                        HttpMethod.POST,
                        fleet.address(daemon),
                        "/services/booking/bookings",
                        Map.of(),
                        "")
                    .status()
                == 400);
  }

  FleetHttp.Answer book(String daemon, String key) {
    return FleetHttp.await(send(daemon, key, "{\"visit\":1}", Map.of()), GENEROUS);
  }

  /** Sends a booking without waiting for the answer. */
  CompletableFuture<FleetHttp.Answer> send(
      String daemon, String key, String body, Map<String, String> extraHeaders) {
    Map<String, String> headers = new HashMap<>(extraHeaders);
    headers.put("Idempotency-Key", key);
    return fleet
        .http()
        .send(HttpMethod.POST, fleet.address(daemon), "/services/booking/bookings", headers, body);
  }

  /** Retries without pause until the call is answered as done, and returns that answer. */
  FleetHttp.Answer bookUntilDone(String daemon, String key) {
    FleetHttp.Answer[] last = new FleetHttp.Answer[1];
    LocalFleet.await(
        "booking " + key + " is done at " + daemon,
        GENEROUS,
        () -> {
          last[0] = book(daemon, key);
          return isDone(last[0]);
        });
    return last[0];
  }

  /** Retries until the answer has the given status, and returns that answer. */
  FleetHttp.Answer bookUntil(String daemon, String key, int status) {
    FleetHttp.Answer[] last = new FleetHttp.Answer[1];
    LocalFleet.await(
        "booking " + key + " gets status " + status + " at " + daemon,
        GENEROUS,
        () -> {
          last[0] = book(daemon, key);
          return last[0].status() == status;
        });
    return last[0];
  }

  /** Status 201 answers a direct booking, 200 one whose outcome was queried from the service. */
  static boolean isDone(FleetHttp.Answer answer) {
    return answer.status() == 200 || answer.status() == 201;
  }

  /** Returns the field of a refusal that tells whether the call was run. */
  static String runOf(FleetHttp.Answer answer) {
    return json(answer).findPath("run").asText();
  }

  /** Returns the error kind of a refusal. */
  static String codeOf(FleetHttp.Answer answer) {
    return json(answer).findPath("code").asText();
  }

  /** Returns the number of executions that the service counted for a key. */
  int executions(String key) {
    FleetHttp.Answer counts =
        fleet.call(HttpMethod.GET, fleet.address(SERVICE), "/executions", Map.of(), "");
    return json(counts).path("byKey").path(key).asInt();
  }

  void serviceFaults(String faults) {
    fleet.call(HttpMethod.POST, fleet.address(SERVICE), "/faults", Map.of(), faults);
  }

  void storeFaults(String faults) {
    fleet.call(HttpMethod.POST, fleet.address("store"), "/faults", Map.of(), faults);
  }

  /** Returns the call counters of the store. */
  JsonNode storeCalls() {
    return json(fleet.call(HttpMethod.GET, fleet.address("store"), "/counts", Map.of(), ""))
        .path("calls");
  }

  /** Returns the number of invariant metrics above zero, over all running daemons. */
  long violations() {
    long sum = 0;
    for (FleetPlan.Entry entry : fleet.plan().instances()) {
      if (fleet.process(entry.name()).isAlive()) {
        String metrics =
            fleet
                .call(HttpMethod.GET, fleet.address(entry.name()), "/metrics", Map.of(), "")
                .text();
        sum += metrics.lines().filter(BookingFleet::isViolation).count();
      }
    }
    return sum;
  }

  private static boolean isViolation(String line) {
    boolean counts = line.contains("violation") && !line.startsWith("#");
    return counts && !line.endsWith(" 0") && !line.endsWith(" 0.0");
  }

  private static JsonNode json(FleetHttp.Answer answer) {
    try {
      return MAPPER.readTree(answer.text());
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("answer is not JSON: " + answer.text(), exception);
    }
  }

  @Override
  public void close() {
    fleet.close();
  }
}
