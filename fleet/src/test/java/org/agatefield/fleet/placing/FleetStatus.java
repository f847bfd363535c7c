package org.agatefield.fleet.placing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;

/** Reads the status that daemons and engines of a fleet report. Not thread-safe. */
final class FleetStatus {
  static final Duration LIMIT = Duration.ofSeconds(120);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Map<String, String> OPERATOR_HEADERS =
      Map.of("Authorization", "Bearer " + LocalFleet.OPERATOR_TOKEN);

  private final LocalFleet fleet;

  FleetStatus(LocalFleet fleet) {
    this.fleet = fleet;
  }

  JsonNode status(String daemon) {
    return json(get(daemon, "/operator/status"));
  }

  long generation(String daemon) {
    return status(daemon).path("generation").asLong();
  }

  boolean isPlanner(String daemon) {
    return status(daemon).path("planner").asBoolean();
  }

  /**
   * Returns each memory overcommit that an engine reports, and the end of the log of each daemon
   * that reports invariant violations.
   */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (FleetPlan.Engine engine : fleet.plan().engines()) {
      if (fleet.process(engine.name()).isAlive()) {
        JsonNode overcommits = json(get(engine.name(), "/violations")).path("overcommits");
        overcommits.forEach(each -> violations.add(engine.name() + ": " + each.asText()));
      }
    }
    for (FleetPlan.Entry entry : fleet.plan().instances()) {
      if (fleet.process(entry.name()) != null && fleet.process(entry.name()).isAlive()) {
        long count = status(entry.name()).path("violations").asLong();
        if (count > 0) {
          violations.add(entry.name() + ": " + fleet.process(entry.name()).logTail());
        }
      }
    }
    return violations;
  }

  /** Configures the faults that a stand-in injects. */
  void faults(String name, String json) {
    FleetHttp.Answer answer =
        fleet.call(HttpMethod.POST, fleet.address(name), "/faults", Map.of(), json);
    if (answer.status() >= 300) {
      throw new FleetException(name + " refused the faults: " + answer.text());
    }
  }

  FleetHttp.Answer get(String name, String path) {
    return fleet.call(HttpMethod.GET, fleet.address(name), path, OPERATOR_HEADERS, "");
  }

  static JsonNode json(FleetHttp.Answer answer) {
    try {
      return MAPPER.readTree(answer.text());
    } catch (JsonProcessingException exception) {
      throw new FleetException("answer is not JSON: " + answer.text(), exception);
    }
  }

  /** Waits for a condition; a failed call counts as a condition that does not hold yet. */
  static void await(String what, LocalFleet.Condition condition) {
    LocalFleet.await(
        what,
        LIMIT,
        () -> {
          try {
            return condition.holds();
          } catch (FleetException exception) {
            return false;
          }
        });
  }
}
