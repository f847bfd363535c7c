package org.agatefield.fleet.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates two operators who change the configuration concurrently, each through a randomly chosen
 * instance, and checks that each generation is accepted at most once. Not thread-safe.
 */
final class ConfigurationOperators {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final int ACCEPTED_STATUS = 200;
  private static final Map<String, String> HEADERS =
      Map.of(
          "Authorization",
          "Bearer " + LocalFleet.OPERATOR_TOKEN,
          "Content-Type",
          "application/json");

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private final SoakCounts counts;
  private final Violations violations;
  private long lastAccepted = 1;

  ConfigurationOperators(
      LocalFleet fleet, UniformRandomProvider random, SoakCounts counts, Violations violations) {
    this.fleet = fleet;
    this.random = random;
    this.counts = counts;
    this.violations = violations;
  }

  /** Returns the highest generation reported to an operator as accepted. */
  long lastAccepted() {
    return lastAccepted;
  }

  /** Has both operators read the document and apply different changes concurrently. */
  void race() {
    List<CompletableFuture<FleetHttp.Answer>> answers = new ArrayList<>();
    for (int operator = 0; operator < 2; operator++) {
      submitChange(operator).ifPresent(answers::add);
    }
    List<Long> accepted = new ArrayList<>();
    for (CompletableFuture<FleetHttp.Answer> answer : answers) {
      acceptedGeneration(answer).ifPresent(accepted::add);
    }
    if (accepted.size() != accepted.stream().distinct().count()) {
      violations.add("the same generation was accepted for two operators: " + accepted);
    }
    accepted.forEach(this::checkIncreasing);
  }

  private void checkIncreasing(long generation) {
    counts.configurations.increment();
    if (generation <= lastAccepted) {
      violations.add("generation " + generation + " accepted after " + lastAccepted);
    }
    lastAccepted = Math.max(lastAccepted, generation);
  }

  private Optional<CompletableFuture<FleetHttp.Answer>> submitChange(int operator) {
    List<FleetPlan.Entry> entries = fleet.plan().instances();
    var address = fleet.address(entries.get(random.nextInt(entries.size())).name());
    try {
      FleetHttp.Answer current =
          FleetHttp.await(
              fleet.http().send(HttpMethod.GET, address, "/operator/configuration", HEADERS, ""),
              CALL_TIMEOUT);
      ObjectNode document = (ObjectNode) MAPPER.readTree(current.text());
      JsonNode deployments = document.path("deployments");
      int chosen = random.nextInt(Math.max(1, deployments.size()));
      ObjectNode version = (ObjectNode) deployments.path(chosen).path("versions").path(0);
      version.put("weight", 1 + random.nextInt(9) + 10 * operator);
      return Optional.of(
          fleet
              .http()
              .send(
                  HttpMethod.PUT,
                  address,
                  "/operator/configuration",
                  HEADERS,
                  document.toString()));
    } catch (FleetException | JsonProcessingException | ClassCastException exception) {
      return Optional.empty();
    }
  }

  private static Optional<Long> acceptedGeneration(CompletableFuture<FleetHttp.Answer> pending) {
    try {
      FleetHttp.Answer answer = FleetHttp.await(pending, CALL_TIMEOUT);
      if (answer.status() != ACCEPTED_STATUS) {
        return Optional.empty();
      }
      return Optional.of(MAPPER.readTree(answer.text()).path("generation").asLong());
    } catch (FleetException | JsonProcessingException exception) {
      return Optional.empty();
    }
  }
}
