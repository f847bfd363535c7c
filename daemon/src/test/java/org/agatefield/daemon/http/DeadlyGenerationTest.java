package org.agatefield.daemon.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.dispatch.QuarantiningDispatcher;
import org.agatefield.daemon.quarantine.CrashProtection;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.UpstreamKind;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.HttpObjectStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A generation that crashes engines is kept away from them, also while the store is down. */
class DeadlyGenerationTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Address CLOSED = new Address("127.0.0.1", 1);
  private static final String SOUND_PROMPT = "sound";
  private static final int REPEATS = 5;
  // One crash tells nothing, the second one leaves the request as the only suspect.
  private static final int ROUNDS_BEFORE_CONCLUSION = 2;

  private final CallerApiHarness harness = new CallerApiHarness(TIMEOUT, this::protect);
  private CrashProtection protection;
  private List<CrashingEngine> engines;

  private Dispatcher protect(Vertx vertx, Dispatcher dispatcher) {
    HttpObjectStore store = new HttpObjectStore(vertx, CLOSED, Duration.ofSeconds(1));
    protection =
        new CrashProtection(
            vertx, store, new LoneInstance(), Set::of, bound -> 0, new MetricRegistry());
    protection.start();
    return new QuarantiningDispatcher(dispatcher, protection);
  }

  @BeforeEach
  void start() {
    engines = Stream.generate(this::startEngine).limit(3).toList();
  }

  private CrashingEngine startEngine() {
    CrashingEngine engine = new CrashingEngine(harness.vertx, harness.startLoadedEngine(1));
    harness.dispatcher.addRunner(
        CallerApiHarness.upstream(engine.address(), UpstreamKind.MODEL_RUNNER));
    return engine;
  }

  @AfterEach
  void close() {
    assertEquals(0, harness.violations.get());
    protection.close();
    harness.close();
  }

  @Test
  void generationThatCrashesEnginesIsRefusedWhileOthersAreServed() {
    for (int round = 0; round < ROUNDS_BEFORE_CONCLUSION; round++) {
      assertEquals(502, generate(CrashingEngine.DEADLY_PROMPT).statusCode());
      await().atMost(TIMEOUT).until(this::allListening);
    }
    int crashes = crashes();
    assertTrue(crashes > 0);
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      HttpResponse<String> refused = generate(CrashingEngine.DEADLY_PROMPT);
      JsonNode answer = StreamText.parse(refused.body());
      assertEquals(503, refused.statusCode(), refused.body());
      assertEquals("request_crashes_upstreams", answer.path("error").path("code").asText());
      assertEquals("no", answer.path("run").asText());
      assertEquals(200, generate(SOUND_PROMPT).statusCode());
    }
    assertEquals(crashes, crashes());
  }

  private HttpResponse<String> generate(String prompt) {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":3,\"stream\":false}"
            .formatted(CallerApiHarness.MODEL, prompt);
    return harness.post(harness.address, "/v1/completions", body);
  }

  private boolean allListening() {
    return engines.stream().allMatch(CrashingEngine::isListening);
  }

  private int crashes() {
    return engines.stream().mapToInt(CrashingEngine::crashes).sum();
  }

  /** An instance without others. */
  private static final class LoneInstance implements RequestQuarantine.Fleet {
    @Override
    public Instance self() {
      return new Instance(
          "entry-1", CLOSED, CLOSED, new FailureDomain("kochi", "a"), InstanceState.LIVE);
    }

    @Override
    public List<Instance> answering() {
      return List.of(self());
    }

    @Override
    public void broadcast(PeerMessage message) {
      // There is nobody to tell.
    }

    @Override
    public void send(Instance instance, PeerMessage message) {
      throw new IllegalStateException("there is no other instance");
    }
  }
}
