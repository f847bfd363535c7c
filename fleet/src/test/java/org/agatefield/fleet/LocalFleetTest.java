package org.agatefield.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.FailPoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the harness itself: a request through all processes, and a daemon halted at a fail point.
 */
class LocalFleetTest {
  private static final String BOOKING = "{\"visit\":\"school 12\"}";

  @TempDir Path directory;

  @Test
  void bookingWhoseInstanceHaltsAfterTheClaimIsNotExecutedOnRetry() {
    StepFault fault = StepFault.halt(FailPoint.AFTER_CLAIM, "", directory.resolve("claimed"));
    try (LocalFleet fleet = new LocalFleet(FleetPlans.quickstart(), directory)) {
      fleet.withDaemonMain(HookedDaemonMain.class.getName());
      fleet.withDaemonOptions("entry-1", fault.options());
      fleet.startAll();
      CompletableFuture<FleetHttp.Answer> lost =
          fleet
              .http()
              .send(
                  HttpMethod.POST,
                  fleet.address("entry-1"),
                  "/services/booking/bookings",
                  Map.of("Idempotency-Key", "key-1"),
                  BOOKING);
      fault.awaitReached();
      fleet.process("entry-1").awaitExit(20);
      assertEquals(true, lost.handle((answer, failure) -> failure != null).join());
      LocalFleet.await(
          "retry is answered with status 504",
          Duration.ofSeconds(90),
          () -> book(fleet, "entry-2").status() == 504);
      assertEquals("0", executions(fleet));
    }
  }

  private static FleetHttp.Answer book(LocalFleet fleet, String daemon) {
    return fleet.call(
        HttpMethod.POST,
        fleet.address(daemon),
        "/services/booking/bookings",
        Map.of("Idempotency-Key", "key-1"),
        BOOKING);
  }

  private static String executions(LocalFleet fleet) {
    String text =
        fleet.call(HttpMethod.GET, fleet.address("booking-1"), "/executions", Map.of(), "").text();
    return text.replaceAll("(?s).*\"total\"\\s*:\\s*(\\d+).*", "$1");
  }
}
