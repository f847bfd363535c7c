package org.agatefield.fleet.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;

/** Reads the counters of daemons and stand-ins and reports violated guarantees. Not thread-safe. */
final class SoakChecks {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(90);
  private static final Map<String, String> AUTHORIZATION =
      Map.of("Authorization", "Bearer " + LocalFleet.OPERATOR_TOKEN);

  private final LocalFleet fleet;
  private final Violations violations;
  private final Map<String, Long> lastGeneration = new HashMap<>();
  private final Map<String, Long> lastProcessId = new HashMap<>();

  SoakChecks(LocalFleet fleet, Violations violations) {
    this.fleet = fleet;
    this.violations = violations;
  }

  void report(String evidence) {
    violations.add(evidence);
  }

  /** Reports violations counted by a daemon. */
  void readViolations(String daemon) {
    JsonNode status = status(daemon);
    long count = status.path("violations").asLong();
    if (count > 0) {
      violations.add(daemon + " counted " + count + " violations; see its log");
    }
  }

  /** Reports memory overcommits recorded by an engine. */
  void readOvercommits(String engine) {
    JsonNode record = read(HttpMethod.GET, engine, "/violations", Map.of());
    record
        .path("overcommits")
        .forEach(each -> violations.add("memory of " + engine + " overcommitted: " + each));
  }

  /** Checks that no daemon process has reverted to an earlier generation of the configuration. */
  void readGenerations() {
    for (FleetPlan.Entry entry : fleet.plan().instances()) {
      JsonNode status = status(entry.name());
      if (!status.has("generation")) {
        continue;
      }
      long processId = fleet.process(entry.name()).identifier();
      long generation = status.path("generation").asLong();
      boolean sameProcess = lastProcessId.getOrDefault(entry.name(), -1L) == processId;
      if (sameProcess && generation < lastGeneration.get(entry.name())) {
        violations.add(entry.name() + " reverted to generation " + generation);
      }
      lastProcessId.put(entry.name(), processId);
      lastGeneration.put(entry.name(), generation);
    }
  }

  /**
   * Waits until the whole fleet has recovered and reports each condition that is not met in time.
   */
  void checkHealed(long lastAccepted) {
    for (FleetPlan.Entry entry : fleet.plan().instances()) {
      String name = entry.name();
      awaitCondition(
          name + " has generation " + lastAccepted, () -> generation(name) >= lastAccepted);
      for (FleetPlan.Model model : fleet.plan().models()) {
        awaitCondition(
            model.name() + " is reachable at " + name, () -> canComplete(name, model.name()));
      }
      readViolations(name);
    }
    fleet.plan().engines().forEach(engine -> readOvercommits(engine.name()));
  }

  private boolean canComplete(String daemon, String model) {
    try {
      return fleet.complete(daemon, model, "well again?").status() == 200;
    } catch (FleetException exception) {
      return false;
    }
  }

  private long generation(String daemon) {
    return status(daemon).path("generation").asLong();
  }

  private void awaitCondition(String description, LocalFleet.Condition condition) {
    try {
      LocalFleet.await(description, RECOVERY_TIMEOUT, condition);
    } catch (FleetException exception) {
      violations.add(exception.getMessage());
    }
  }

  /**
   * Compares the responses to partners with the executions counted by the runners of the service.
   */
  void checkBookings(List<BookingRecord> records) {
    Map<String, Long> executions = new HashMap<>();
    for (FleetPlan.Service service : fleet.plan().services()) {
      JsonNode byKey = read(HttpMethod.GET, service.name(), "/executions", Map.of()).path("byKey");
      byKey
          .fields()
          .forEachRemaining(
              each -> executions.merge(each.getKey(), each.getValue().asLong(), Long::sum));
    }
    for (BookingRecord record : records) {
      checkBooking(record, executions.getOrDefault(record.key, 0L));
    }
  }

  private void checkBooking(BookingRecord record, long executed) {
    if (executed > 1) {
      violations.add("booking " + record.key + " executed " + executed + " times");
    }
    if (executed == 0 && record.isAnswered()) {
      violations.add("booking " + record.key + " reported as successful but never executed");
    }
    if (executed > 0 && record.onlyNotRun()) {
      violations.add("booking " + record.key + " reported as not run but executed");
    }
  }

  private JsonNode status(String daemon) {
    return read(HttpMethod.GET, daemon, "/operator/status", AUTHORIZATION);
  }

  private JsonNode read(
      HttpMethod method, String process, String path, Map<String, String> headers) {
    try {
      FleetHttp.Answer answer = fleet.call(method, fleet.address(process), path, headers, "");
      return MAPPER.readTree(answer.text());
    } catch (FleetException | JsonProcessingException exception) {
      return MAPPER.createObjectNode();
    }
  }
}
