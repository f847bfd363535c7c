package org.agatefield.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.agatefield.model.Address;
import org.agatefield.model.UpstreamKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against upstreams' statuses that are none of HTTP and reach callers of the own edge. */
@Timeout(30)
class OddStatusTest {
  private static final int BAD_GATEWAY = 502;

  private final CallerApiHarness harness = new CallerApiHarness();

  @AfterEach
  void close() {
    assertEquals(0, harness.violations.get());
    harness.close();
  }

  private Address upstream(String status) {
    String response = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody";
    return harness.startUpstream(request -> response);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "199", "600", "999", "6000", "2000000200"})
  void statusOfServiceDoesNotReachCaller(String status) {
    harness.dispatcher.addServiceRunner(
        CallerApiHarness.upstream(upstream(status), UpstreamKind.SERVICE_RUNNER));
    harness.dispatcher.allowRetries(0);
    assertEquals(BAD_GATEWAY, harness.get(harness.address, "/services/booking/odd").statusCode());
    assertEquals(
        BAD_GATEWAY,
        harness
            .post(harness.address, "/services/booking/odd", "{}", "Idempotency-Key", "key")
            .statusCode());
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "199", "600", "999", "6000", "2000000200"})
  void statusOfEngineDoesNotReachCaller(String status) {
    harness.dispatcher.addRunner(
        CallerApiHarness.upstream(upstream(status), UpstreamKind.MODEL_RUNNER));
    harness.dispatcher.allowRetries(0);
    for (boolean stream : new boolean[] {false, true}) {
      String body =
          "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":5,\"stream\":%s}"
              .formatted(CallerApiHarness.MODEL, stream);
      assertEquals(
          BAD_GATEWAY, harness.post(harness.address, "/v1/completions", body).statusCode());
    }
  }
}
