package org.agatefield.daemon.forward;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RunnerCrashDetectorTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long NO_CRASH_MILLISECONDS = 300; // Several times the duration of a probe.

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<Map<String, Integer>> crashes = new CopyOnWriteArrayList<>();
  private RunnerCrashDetector detector;
  private NetServer server;

  @BeforeEach
  void start() {
    server =
        vertx
            .createNetServer()
            .connectHandler(socket -> {})
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    detector =
        new RunnerCrashDetector(
            vertx,
            new ConnectionProbe(
                vertx.createNetClient(new NetClientOptions().setConnectTimeout(400))),
            MonotonicClock::milliseconds,
            (runner, positions) -> crashes.add(positions));
  }

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private RunnerEntry runner(long startTime, boolean draining) {
    return new RunnerEntry(
        "i-1",
        startTime,
        OptionalLong.empty(),
        "service",
        new Address("127.0.0.1", server.actualPort()),
        "domain",
        96,
        draining,
        OptionalLong.empty(),
        Optional.empty(),
        Set.of(),
        Set.of());
  }

  private void onEventLoop(Runnable action) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    context.runOnContext(
        run -> {
          action.run();
          done.complete(null);
        });
    done.join();
  }

  private void stopServer() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void lostConnectionsOfRunnerThatRefusesOthersAreOneCrashWithAllParts() {
    stopServer();
    onEventLoop(
        () -> {
          detector.disconnected(runner(1, false), List.of("a", "b"));
          detector.disconnected(runner(1, false), List.of("c", "a"));
        });
    await().atMost(TIMEOUT).until(() -> crashes.size() == 1);
    assertEquals(Map.of("a", 1, "b", 1, "c", 0), crashes.get(0));
  }

  @Test
  void stalledRequestOfRunnerThatRefusesConnectionsIsInHandAtItsCrash() {
    stopServer();
    onEventLoop(() -> detector.stalled(runner(1, false), List.of("a")));
    await().atMost(TIMEOUT).until(() -> crashes.size() == 1);
  }

  @Test
  void lostConnectionOfRunnerThatAcceptsOthersIsNoCrashUnlessAnotherProcessFollows()
      throws Exception {
    onEventLoop(() -> detector.disconnected(runner(1, false), List.of("a")));
    Thread.sleep(NO_CRASH_MILLISECONDS);
    assertTrue(crashes.isEmpty());
    onEventLoop(() -> detector.runnerChanged(runner(1, false), false));
    assertTrue(crashes.isEmpty());
    onEventLoop(() -> detector.runnerChanged(runner(2, false), true));
    assertEquals(1, crashes.size());
  }

  @Test
  void stalledRequestOfSlowRunnerIsNotInHandAtLaterCrashes() throws Exception {
    onEventLoop(() -> detector.stalled(runner(1, false), List.of("a")));
    Thread.sleep(NO_CRASH_MILLISECONDS);
    onEventLoop(() -> detector.runnerChanged(runner(2, false), true));
    assertTrue(crashes.isEmpty());
  }

  @Test
  void endOfDrainingRunnerIsNoCrash() throws Exception {
    stopServer();
    onEventLoop(() -> detector.disconnected(runner(1, true), List.of("a")));
    Thread.sleep(NO_CRASH_MILLISECONDS);
    onEventLoop(() -> detector.runnerGone("i-1"));
    assertTrue(crashes.isEmpty());
  }
}
