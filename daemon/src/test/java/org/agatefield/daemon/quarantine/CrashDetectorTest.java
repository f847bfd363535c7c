package org.agatefield.daemon.quarantine;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long NO_CRASH_MILLISECONDS = 300; // Several times the duration of a probe.

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<Map<String, Integer>> crashes = new CopyOnWriteArrayList<>();
  private final AtomicInteger examined = new AtomicInteger();
  private CrashDetector detector;
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
        new CrashDetector(
            vertx,
            new ConnectionProbe(
                vertx.createNetClient(new NetClientOptions().setConnectTimeout(400))),
            () -> System.nanoTime() / 1_000_000,
            (process, positions) -> crashes.add(positions));
  }

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private UpstreamProcess process(long startTime, boolean leaving) {
    return new UpstreamProcess(
        "i-1", startTime, new Address("127.0.0.1", server.actualPort()), leaving);
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
          detector.disconnected(process(1, false), List.of("a", "b"), examined::incrementAndGet);
          detector.disconnected(process(1, false), List.of("c", "a"), examined::incrementAndGet);
        });
    await().atMost(TIMEOUT).until(() -> examined.get() == 2);
    assertEquals(List.of(Map.of("a", 1, "b", 1, "c", 0)), crashes);
  }

  @Test
  void stalledRequestOfRunnerThatRefusesConnectionsIsInHandAtItsCrash() {
    stopServer();
    onEventLoop(() -> detector.stalled(process(1, false), List.of("a")));
    await().atMost(TIMEOUT).until(() -> crashes.size() == 1);
  }

  @Test
  void lostConnectionOfRunnerThatAcceptsOthersIsNoCrashUnlessAnotherProcessFollows()
      throws Exception {
    onEventLoop(
        () -> detector.disconnected(process(1, false), List.of("a"), examined::incrementAndGet));
    await().atMost(TIMEOUT).until(() -> examined.get() == 1);
    assertTrue(crashes.isEmpty());
    onEventLoop(() -> detector.replaced("i-1", 1));
    assertTrue(crashes.isEmpty());
    onEventLoop(() -> detector.replaced("i-1", 2));
    assertEquals(1, crashes.size());
  }

  @Test
  void stalledRequestOfSlowRunnerIsNotInHandAtLaterCrashes() throws Exception {
    onEventLoop(() -> detector.stalled(process(1, false), List.of("a")));
    Thread.sleep(NO_CRASH_MILLISECONDS);
    onEventLoop(() -> detector.replaced("i-1", 2));
    assertTrue(crashes.isEmpty());
  }

  @Test
  void endOfDrainingRunnerIsNoCrash() throws Exception {
    stopServer();
    onEventLoop(
        () -> detector.disconnected(process(1, true), List.of("a"), examined::incrementAndGet));
    Thread.sleep(NO_CRASH_MILLISECONDS);
    onEventLoop(() -> detector.gone("i-1"));
    assertTrue(crashes.isEmpty());
  }
}
