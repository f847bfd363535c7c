package org.agatefield.fleet.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.HookedDaemonMain;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.StepFault;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests requirement REQ-MEMORY with separate processes: planners and engines fail while models are
 * loaded and unloaded.
 */
class PlacementFailureTest {
  private static final FailureDomain FIRST = new FailureDomain("kochi", "kochi-a");
  private static final FailureDomain SECOND = new FailureDomain("kochi", "kochi-b");
  private static final String LIMITS =
      "order_quarantine_seconds = 20\ndefault_deadline_milliseconds = 5000";

  @TempDir Path directory;

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void delayedOrderOfPlannerWhoseLeaseHasExpiredCausesNoOvercommit(boolean checks) {
    FleetPlan plan = plan(List.of(new FleetPlan.Engine("engine-1", FIRST, 10_000, checks)));
    StepFault fault =
        StepFault.hold(FailPoint.BEFORE_ORDER, "engine-1", directory.resolve("order"));
    try (LocalFleet fleet = fleet(plan)) {
      FleetStatus status = new FleetStatus(fleet);
      startWithFaultyPlanner(fleet, status, fault);
      fleet.apply("entry-2", document(fleet, 0, List.of("old")));
      fault.awaitReached();
      fleet.process("entry-1").pause();
      FleetStatus.await("entry-2 becomes the planner", () -> status.isPlanner("entry-2"));
      fleet.apply("entry-2", document(fleet, 1, List.of("new")));
      FleetStatus.await(
          "the old version is being unloaded",
          () -> log(fleet, "entry-2").contains("move=UNLOAD version=old@v1"));
      fleet.process("entry-1").resume();
      fault.goOn();
      FleetStatus.await(
          "the new model is served",
          () -> fleet.complete("entry-2", "new", "question").status() == 200);
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void nextPlannerLoadsTheModelAfterPlannerHaltsBetweenReservationAndOrder() {
    FleetPlan plan = plan(List.of(new FleetPlan.Engine("engine-1", FIRST, 10_000, true)));
    StepFault fault =
        StepFault.halt(FailPoint.AFTER_RESERVATION, "engine-1", directory.resolve("reserved"));
    try (LocalFleet fleet = fleet(plan)) {
      FleetStatus status = new FleetStatus(fleet);
      startWithFaultyPlanner(fleet, status, fault);
      fleet.apply("entry-2", document(fleet, 0, List.of("old")));
      fault.awaitReached();
      FleetStatus.await(
          "the model is served",
          () -> fleet.complete("entry-2", "old", "question").status() == 200);
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void modelStaysServedDuringVersionChangesWithDelayedAndDuplicateOrders() {
    FleetPlan plan =
        plan(
            List.of(
                new FleetPlan.Engine("engine-1", FIRST, 20_000, true),
                new FleetPlan.Engine("engine-2", SECOND, 20_000, false)));
    try (LocalFleet fleet = fleet(plan)) {
      FleetStatus status = new FleetStatus(fleet);
      startAll(fleet);
      fleet.apply("entry-1", document(fleet, 0, List.of("old")));
      FleetStatus.await(
          "the model is served",
          () -> fleet.complete("entry-2", "old", "question").status() == 200);
      String faults = "{\"delayOrdersMilliseconds\":700,\"duplicateOrders\":true}";
      status.faults("engine-1", faults);
      status.faults("engine-2", faults);
      fleet.apply(
          "entry-1", TestDocuments.withVersion(document(fleet, 1, List.of("old")), "v2", 6_000));
      FleetStatus.await(
          "a replica of the new version is listed",
          () -> {
            assertEquals(200, fleet.complete("entry-2", "old", "question").status());
            return status.status("entry-2").path("replicas").toString().contains("old@v2");
          });
      fleet.apply(
          "entry-1", TestDocuments.withVersion(document(fleet, 2, List.of("old")), "v3", 6_000));
      FleetStatus.await(
          "only replicas of the next version are listed",
          () -> {
            assertEquals(200, fleet.complete("entry-2", "old", "question").status());
            String replicas = status.status("entry-2").path("replicas").toString();
            return replicas.contains("old@v3") && !replicas.contains("old@v2");
          });
      assertEquals(List.of(), status.violations());
    }
  }

  @Test
  void modelWhoseOnlyRunnerDiesIsLoadedOnAnotherRunner() {
    FleetPlan plan =
        plan(
            List.of(
                new FleetPlan.Engine("engine-1", FIRST, 10_000, true),
                new FleetPlan.Engine("engine-2", SECOND, 10_000, true)));
    try (LocalFleet fleet = fleet(plan)) {
      FleetStatus status = new FleetStatus(fleet);
      startAll(fleet);
      fleet.apply("entry-1", document(fleet, 0, List.of("old")));
      FleetStatus.await(
          "the model is served",
          () -> fleet.complete("entry-2", "old", "question").status() == 200);
      String holder = status.status("entry-2").path("replicas").path(0).path("upstream").asText();
      fleet.process(holder).kill();
      FleetStatus.await(
          "the model is served by the other engine",
          () -> fleet.complete("entry-2", "old", "question").status() == 200);
      assertEquals(List.of(), status.violations());
    }
  }

  private static String log(LocalFleet fleet, String daemon) {
    return fleet.process(daemon).logText();
  }

  private LocalFleet fleet(FleetPlan plan) {
    return new LocalFleet(plan, directory).withLimits(LIMITS);
  }

  /** Starts the fleet with entry-1 as the planner, in which the fault is injected. */
  private static void startWithFaultyPlanner(
      LocalFleet fleet, FleetStatus status, StepFault fault) {
    fleet.withDaemonMain(HookedDaemonMain.class.getName());
    fleet.withDaemonOptions("entry-1", fault.options());
    fleet.startPlatform();
    fleet.startUpstreams();
    fleet.startDaemon("entry-1");
    fleet.awaitAnswering("entry-1");
    FleetStatus.await("entry-1 is the planner", () -> status.isPlanner("entry-1"));
    fleet.startDaemon("entry-2");
    fleet.awaitAnswering("entry-2");
  }

  private static void startAll(LocalFleet fleet) {
    fleet.startPlatform();
    fleet.startUpstreams();
    fleet.startDaemons();
  }

  private static FleetPlan plan(List<FleetPlan.Engine> engines) {
    return new FleetPlan(
        List.of(new FleetPlan.Entry("entry-1", FIRST), new FleetPlan.Entry("entry-2", SECOND)),
        engines,
        List.of(),
        List.of(),
        new FleetPlan.Weights(50, 6, 50));
  }

  /** Returns a document with models that each need more than half of an engine of 10,000 MB. */
  private static ConfigurationDocument document(
      LocalFleet fleet, long generation, List<String> models) {
    List<Deployment> deployments = new ArrayList<>();
    for (String model : models) {
      deployments.add(
          new Deployment(
              model, List.of(new DeploymentVersion("v1", 6_000, 1)), Priority.STANDARD, 1));
    }
    ConfigurationDocument base = fleet.configuration();
    return new ConfigurationDocument(
        generation,
        deployments,
        List.of(),
        base.callers(),
        base.services(),
        base.upstreams(),
        base.weightStore());
  }
}
