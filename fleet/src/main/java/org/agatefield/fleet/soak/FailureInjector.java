package org.agatefield.fleet.soak;

import io.vertx.core.http.HttpMethod;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.ManagedProcess;

/**
 * Starts and ends planned failures.
 *
 * <p>Invariant: a process has at most one failure at a time; a further one is skipped. Not
 * thread-safe.
 */
final class FailureInjector {
  private static final String STORE = "store";
  private static final String NO_FAULTS = "{}";
  private static final long DRAIN_TIMEOUT_SECONDS = 150;

  private final LocalFleet fleet;
  private final SoakCounts counts;
  private final SoakChecks checks;
  private final Set<String> failing = new HashSet<>();
  private CompletableFuture<Void> listChanges = CompletableFuture.completedFuture(null);

  FailureInjector(LocalFleet fleet, SoakCounts counts, SoakChecks checks) {
    this.fleet = fleet;
    this.counts = counts;
    this.checks = checks;
  }

  void begin(PlannedFailure failure) {
    String target = targetOf(failure);
    if (!failing.add(target)) {
      return;
    }
    counts.failures.increment();
    System.out.println(
        "failure kind=" + failure.kind() + " target=" + target + " at=" + failure.beginSecond());
    switch (failure.kind()) {
      case KILL_DAEMON -> {
        checks.readViolations(target);
        fleet.process(target).kill();
      }
      case KILL_ENGINE -> {
        checks.readOvercommits(target);
        fleet.process(target).kill();
      }
      case PAUSE_DAEMON, PAUSE_ENGINE -> fleet.process(target).pause();
      case RESTART_DAEMON -> fleet.process(target).terminate();
      case ENGINE_LEAVES -> changeInstanceList(() -> fleet.markLeaving(target));
      default -> setFaults(target, faultsOf(failure.kind()));
    }
  }

  void end(PlannedFailure failure) {
    String target = targetOf(failure);
    if (!failing.remove(target)) {
      return;
    }
    switch (failure.kind()) {
      case KILL_DAEMON -> fleet.startDaemon(target);
      case KILL_ENGINE -> fleet.startEngine(target);
      case PAUSE_DAEMON, PAUSE_ENGINE -> fleet.process(target).resume();
      case RESTART_DAEMON -> restart(target);
      case ENGINE_LEAVES -> changeInstanceList(() -> fleet.markLive(target));
      default -> setFaults(target, NO_FAULTS);
    }
  }

  private void restart(String daemon) {
    ManagedProcess process = fleet.process(daemon);
    int code = process.awaitExit(DRAIN_TIMEOUT_SECONDS);
    if (code != 0) {
      checks.report("graceful shutdown of " + daemon + " ended with exit code " + code);
    }
    fleet.startDaemon(daemon);
  }

  /**
   * Changes the instance list asynchronously, since the store may be down until a later event of
   * the schedule.
   */
  private void changeInstanceList(Runnable change) {
    listChanges =
        listChanges
            .thenRunAsync(change)
            .exceptionally(
                failure -> {
                  checks.report("soak test error: " + failure.getMessage());
                  return null;
                });
  }

  private void setFaults(String target, String faults) {
    try {
      fleet.call(HttpMethod.POST, fleet.address(target), "/faults", Map.of(), faults);
    } catch (FleetException exception) {
      System.out.println("faults of " + target + " could not be set: " + exception.getMessage());
    }
  }

  private String targetOf(PlannedFailure failure) {
    return switch (failure.kind()) {
      case KILL_DAEMON, PAUSE_DAEMON, RESTART_DAEMON ->
          selectTarget(
              fleet.plan().instances().stream().map(FleetPlan.Entry::name).toList(), failure);
      case STORE_DOWN, STORE_SLOW, STORE_LOSES_ANSWERS -> STORE;
      case SERVICE_REFUSES, SERVICE_LOSES_ANSWERS, SERVICE_SLOW ->
          selectTarget(
              fleet.plan().services().stream().map(FleetPlan.Service::name).toList(), failure);
      default ->
          selectTarget(
              fleet.plan().engines().stream().map(FleetPlan.Engine::name).toList(), failure);
    };
  }

  private static String selectTarget(List<String> names, PlannedFailure failure) {
    return names.get(failure.target() % names.size());
  }

  private static String faultsOf(FailureKind kind) {
    return switch (kind) {
      case STORE_DOWN -> "{\"down\":true}";
      case STORE_SLOW -> "{\"slowMilliseconds\":400}";
      case STORE_LOSES_ANSWERS -> "{\"loseAnswersShare\":0.3,\"seed\":7}";
      case ENGINE_CUTS_ANSWERS -> "{\"resetAfterTokens\":5}";
      case ENGINE_ENDS_EARLY -> "{\"endWithoutDoneAfterTokens\":4}";
      case ENGINE_CROSSES_ANSWERS -> "{\"crossAnswers\":true}";
      case ENGINE_DELAYS_ORDERS -> "{\"delayOrdersMilliseconds\":3000}";
      case ENGINE_DOUBLES_ORDERS -> "{\"duplicateOrders\":true,\"loseOrderAnswers\":true}";
      case SERVICE_REFUSES -> "{\"refuse\":true}";
      case SERVICE_LOSES_ANSWERS -> "{\"resetAfterExecution\":true}";
      case SERVICE_SLOW -> "{\"answerLateMilliseconds\":2000}";
      default -> NO_FAULTS;
    };
  }
}
