package org.agatefield.fleet.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.HookedDaemonMain;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.StepFault;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.WeightStoreLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests requirement REQ-CONFIGURATION with separate processes: concurrent operators, store failures
 * and paused daemons.
 */
class ConfigurationFailureTest {
  private static final FailureDomain DOMAIN = new FailureDomain("kochi", "kochi-a");

  @TempDir Path directory;

  @Test
  void oneOfTwoConcurrentDocumentsIsAcceptedAndTheOtherRefusedWithTheDifference() {
    try (LocalFleet fleet = startedFleet(StepFault.halt(FailPoint.BEFORE_CLAIM, "", marker()))) {
      FleetStatus status = new FleetStatus(fleet);
      CompletableFuture<FleetHttp.Answer> first = send(fleet, "entry-1", document(fleet, 0, 2));
      CompletableFuture<FleetHttp.Answer> second = send(fleet, "entry-2", document(fleet, 0, 3));
      List<FleetHttp.Answer> answers =
          List.of(
              FleetHttp.await(first, FleetStatus.LIMIT),
              FleetHttp.await(second, FleetStatus.LIMIT));
      assertEquals(
          List.of(200, 409), answers.stream().map(FleetHttp.Answer::status).sorted().toList());
      String refused =
          answers.stream().filter(each -> each.status() == 409).findFirst().get().text();
      assertTrue(refused.contains("\"path\" : \"weightStore\""), refused);
      assertTrue(refused.contains("\"run\" : \"no\""), refused);
      FleetStatus.await("both have generation 1", () -> bothHaveGeneration(status, 1));
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void acceptedDocumentIsReadBackWhenTheStoreAnswerIsLost() {
    try (LocalFleet fleet = startedFleet(StepFault.halt(FailPoint.BEFORE_CLAIM, "", marker()))) {
      FleetStatus status = new FleetStatus(fleet);
      status.faults("store", "{\"loseAnswersAfterEffect\":1,\"kind\":\"configurations\"}");
      assertEquals(200, fleet.apply("entry-1", document(fleet, 0, 2)).status());
      assertEquals(409, fleet.apply("entry-2", document(fleet, 0, 3)).status());
      FleetStatus.await("both have generation 1", () -> bothHaveGeneration(status, 1));
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void acceptedDocumentsReachResumedAndRestartedDaemonsWhileTheStoreIsDown() {
    StepFault fault = StepFault.hold(FailPoint.AFTER_CONFIGURATION_ACCEPTED, "2", marker());
    try (LocalFleet fleet = startedFleet(fault)) {
      FleetStatus status = new FleetStatus(fleet);
      assertEquals(200, fleet.apply("entry-1", document(fleet, 0, 2)).status());
      FleetStatus.await("both have generation 1", () -> bothHaveGeneration(status, 1));
      fleet.process("entry-2").pause();
      final CompletableFuture<FleetHttp.Answer> answer =
          send(fleet, "entry-1", document(fleet, 1, 3));
      fault.awaitReached();
      status.faults("store", "{\"down\":true}");
      fault.goOn();
      assertEquals(200, FleetHttp.await(answer, FleetStatus.LIMIT).status());
      fleet.process("entry-2").resume();
      FleetStatus.await("the paused daemon has generation 2", () -> bothHaveGeneration(status, 2));
      fleet.process("entry-1").kill();
      fleet.startDaemon("entry-1");
      FleetStatus.await("the new daemon has generation 2", () -> bothHaveGeneration(status, 2));
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void documentsExceedingTheMemoryOfRunnersAreRefusedWithBothAmounts() {
    try (LocalFleet fleet = startedFleet(StepFault.halt(FailPoint.BEFORE_CLAIM, "", marker()))) {
      ConfigurationDocument fitting = document(fleet, 0, 2);
      FleetHttp.Answer answer = fleet.apply("entry-1", TestDocuments.withMemory(fitting, 50_000));
      assertEquals(422, answer.status());
      assertTrue(
          answer.text().contains("all resident versions need 50000 MB and the runners have 10000"),
          answer.text());
      assertEquals(0, new FleetStatus(fleet).generation("entry-1"));
    }
  }

  private Path marker() {
    return directory.resolve("marker");
  }

  private static boolean bothHaveGeneration(FleetStatus status, long generation) {
    return status.generation("entry-1") == generation && status.generation("entry-2") == generation;
  }

  private LocalFleet startedFleet(StepFault fault) {
    FleetPlan plan =
        new FleetPlan(
            List.of(new FleetPlan.Entry("entry-1", DOMAIN), new FleetPlan.Entry("entry-2", DOMAIN)),
            List.of(new FleetPlan.Engine("engine-1", DOMAIN, 10_000, true)),
            List.of(),
            List.of(new FleetPlan.Model("quotes", 6_000, 1, List.of())),
            new FleetPlan.Weights(50, 6, 50));
    LocalFleet fleet = new LocalFleet(plan, directory);
    fleet.withDaemonMain(HookedDaemonMain.class.getName());
    fleet.withDaemonOptions("entry-1", fault.options());
    fleet.startPlatform();
    fleet.startUpstreams();
    fleet.startDaemons();
    return fleet;
  }

  private static CompletableFuture<FleetHttp.Answer> send(
      LocalFleet fleet, String daemon, ConfigurationDocument document) {
    return fleet
        .http()
        .send(
            HttpMethod.PUT,
            fleet.address(daemon),
            "/operator/configuration",
            Map.of("Authorization", "Bearer " + LocalFleet.OPERATOR_TOKEN),
            ConfigurationWriter.toText(document));
  }

  /** Returns the plan's document with a weight store limit that distinguishes it from others. */
  private static ConfigurationDocument document(LocalFleet fleet, long generation, int number) {
    ConfigurationDocument base = fleet.configuration();
    return new ConfigurationDocument(
        generation,
        base.deployments(),
        base.adapters(),
        base.callers(),
        base.services(),
        base.upstreams(),
        new WeightStoreLimits(number, 1, 1));
  }
}
