package org.agatefield.fleet.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.model.Closer;
import org.agatefield.model.FailureDomain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests with separate daemons that a call of a plain service that crashes each runner is refused at
 * all of them after two rounds of crashes, and that sound calls are served.
 */
class DeadlyCallProcessTest {
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final List<String> DAEMONS = List.of("entry-1", "entry-2");
  private static final String SOUND_BODY = "sound";
  private static final int REPEATS = 5;
  // One crash tells nothing, the second one leaves the request as the only suspect.
  private static final int ROUNDS_BEFORE_CONCLUSION = 2;

  private final Closer closer = new Closer();
  private final List<CrashingRunner> runners = new ArrayList<>();
  @TempDir private Path directory;
  private LocalFleet fleet;

  @BeforeEach
  void start() {
    FailureDomain domain = new FailureDomain("kochi", "kochi-a");
    List<FleetPlan.Service> services =
        List.of(
            new FleetPlan.Service("job-1", "job", domain),
            new FleetPlan.Service("job-2", "job", domain),
            new FleetPlan.Service("job-3", "job", domain));
    FleetPlan plan =
        new FleetPlan(
            DAEMONS.stream().map(name -> new FleetPlan.Entry(name, domain)).toList(),
            List.of(),
            services,
            List.of(),
            new FleetPlan.Weights(1, 1, 1));
    fleet = closer.register(new LocalFleet(plan, directory));
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    services.forEach(
        service -> runners.add(new CrashingRunner(vertx, fleet.address(service.name()))));
    runners.forEach(CrashingRunner::start);
    fleet.startPlatform();
    fleet.startDaemons();
    fleet.apply(fleet.configuration());
    awaitServed();
    for (String daemon : DAEMONS) {
      LocalFleet.await(
          daemon + " knows the others",
          GENEROUS,
          () -> metrics(daemon).contains("agatefield_peers_members " + DAEMONS.size()));
    }
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void repeatableCallThatCrashesRunnersIsRefusedAtAllInstancesAlsoAfterTheirRestart() {
    sendUntilRefused(HttpMethod.GET);
    awaitQuarantineKnown();
    final int crashes = crashes();
    assertRefusedEverywhere(HttpMethod.GET);
    DAEMONS.forEach(daemon -> fleet.process(daemon).kill());
    fleet.startDaemons();
    awaitServed();
    awaitQuarantineKnown();
    assertRefusedEverywhere(HttpMethod.GET);
    assertEquals(crashes, crashes());
  }

  @Test
  void callThatMustNotRepeatAndCrashesRunnersIsRefusedWithoutClaim() {
    sendUntilRefused(HttpMethod.POST);
    awaitQuarantineKnown();
    final int crashes = crashes();
    assertRefusedEverywhere(HttpMethod.POST);
    for (String daemon : DAEMONS) {
      String key = UUID.randomUUID().toString();
      assertRefused(send(daemon, HttpMethod.POST, key, CrashingRunner.DEADLY_BODY));
      assertRefused(send(daemon, HttpMethod.POST, key, CrashingRunner.DEADLY_BODY));
      assertEquals(200, send(daemon, HttpMethod.POST, key, SOUND_BODY).status());
    }
    assertEquals(crashes, crashes());
  }

  /** Sends the deadly call at each instance in turn, each time to runners that all run. */
  private void sendUntilRefused(HttpMethod method) {
    FleetHttp.Answer last = send(DAEMONS.get(0), method, CrashingRunner.DEADLY_BODY);
    for (int round = 1; round <= ROUNDS_BEFORE_CONCLUSION; round++) {
      awaitServed();
      last = send(DAEMONS.get(round % DAEMONS.size()), method, CrashingRunner.DEADLY_BODY);
    }
    assertRefused(last);
  }

  private void awaitQuarantineKnown() {
    for (String daemon : DAEMONS) {
      LocalFleet.await(
          daemon + " knows a quarantined request",
          GENEROUS,
          () -> metrics(daemon).contains("agatefield_requests_quarantined_traits 1"));
    }
  }

  private void assertRefusedEverywhere(HttpMethod method) {
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      for (String daemon : DAEMONS) {
        assertRefused(send(daemon, method, CrashingRunner.DEADLY_BODY));
        FleetHttp.Answer sound = send(daemon, method, SOUND_BODY);
        assertEquals(200, sound.status(), sound.text());
      }
    }
  }

  private static void assertRefused(FleetHttp.Answer answer) {
    assertEquals(503, answer.status(), answer.text());
    assertTrue(answer.text().contains("\"request_crashes_upstreams\""), answer.text());
    assertTrue(answer.text().contains("\"run\":\"no\""), answer.text());
    assertTrue(Integer.parseInt(answer.headers().get("retry-after")) > 0);
  }

  private int crashes() {
    return runners.stream().mapToInt(CrashingRunner::crashes).sum();
  }

  private void awaitServed() {
    LocalFleet.await(
        "all runners listen",
        GENEROUS,
        () -> runners.stream().allMatch(CrashingRunner::isListening));
    for (String daemon : DAEMONS) {
      LocalFleet.await(daemon + " serves", GENEROUS, () -> isServed(daemon));
    }
  }

  private boolean isServed(String daemon) {
    try {
      return send(daemon, HttpMethod.GET, SOUND_BODY).status() == 200;
    } catch (FleetException exception) {
      return false;
    }
  }

  private String metrics(String daemon) {
    return fleet.call(HttpMethod.GET, fleet.address(daemon), "/metrics", Map.of(), "").text();
  }

  private FleetHttp.Answer send(String daemon, HttpMethod method, String body) {
    return send(daemon, method, UUID.randomUUID().toString(), body);
  }

  private FleetHttp.Answer send(String daemon, HttpMethod method, String key, String body) {
    return fleet.call(
        method,
        fleet.address(daemon),
        "/services/job/status",
        Map.of("Idempotency-Key", key),
        body);
  }
}
