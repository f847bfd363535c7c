package org.agatefield.fleet.answers;

import static org.agatefield.fleet.answers.AnswerFleet.GENEROUS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.answers.StreamConnection.ReadAnswer;
import org.agatefield.model.Address;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests requirements REQ-GRACEFUL and REQ-LEAVING with separate processes. */
class ShutdownProcessTest {
  private static final int DAEMONS = 3;
  private static final int CALLERS = 9;
  private static final int EXIT_SECONDS = 120;
  private static final int LEAVING_PROBES = 20;

  /**
   * Callers stop using an entry address this long before it expires, as the machine may be busy.
   */
  private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(2);

  @TempDir static Path directory;
  private static AnswerFleet answers;

  @BeforeAll
  static void start() {
    answers = new AnswerFleet(directory, DAEMONS);
  }

  @AfterAll
  static void stop() {
    answers.close();
  }

  @Test
  void rollingRestartUnderLoadCutsNoRequestOfCallersThatKeepTheirEntryAddress() {
    Load load = new Load();
    load.start();
    for (int number = 1; number <= DAEMONS; number++) {
      String daemon = "entry-" + number;
      int before = load.completeAnswers.get();
      LocalFleet.await(
          "further answers under load",
          GENEROUS,
          () -> load.completeAnswers.get() > before + CALLERS);
      StreamConnection running = answers.stream(daemon, "long-" + number, 2_000).startReading();
      LocalFleet.await("tokens come", GENEROUS, () -> !running.answer().text().isEmpty());
      answers.fleet.process(daemon).terminate();
      ReadAnswer read = running.readToEnd();
      assertEquals(AnswerFleet.expected(read.requestId(), "long-" + number, 2_000), read);
      assertEquals(0, answers.fleet.process(daemon).awaitExit(EXIT_SECONDS));
      restart(daemon);
    }
    load.stop();
    assertEquals(List.of(), List.copyOf(load.failures));
    assertEquals(0, answers.violations());
  }

  @Test
  void leavingUpstreamReceivesNoNewRequests() {
    answers.fleet.markLeaving("engine-2");
    LocalFleet.await(
        "no request reaches engine-2", GENEROUS, () -> generationStartsDuringProbes() == 0);
    int startsAfterLeaving = 0;
    for (int round = 0; round < 5; round++) {
      startsAfterLeaving += generationStartsDuringProbes();
    }
    assertEquals(0, startsAfterLeaving);
  }

  private static int generationStartsDuringProbes() {
    int before = countGenerationStarts();
    for (int probe = 0; probe < LEAVING_PROBES; probe++) {
      String daemon = "entry-" + (1 + probe % DAEMONS);
      ReadAnswer read = answers.stream(daemon, "probe-" + probe, 3).readToEnd();
      assertTrue(read.done(), read::toString);
    }
    return countGenerationStarts() - before;
  }

  private static int countGenerationStarts() {
    return answers.read("engine-2", "/violations").path("generationStarts").asInt();
  }

  private static void restart(String daemon) {
    answers.fleet.startDaemon(daemon);
    answers.fleet.awaitAnswering(daemon);
    LocalFleet.await(
        daemon + " serves", GENEROUS, () -> answers.stream(daemon, "ready", 2).readToEnd().done());
  }

  /**
   * Generates load: each caller requests an entry address, caches it for its time to live and sends
   * streamed requests to it.
   */
  private static final class Load {
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger completeAnswers = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();
    private volatile boolean stopped;

    private void start() {
      for (int number = 0; number < CALLERS; number++) {
        int caller = number;
        Thread thread = new Thread(() -> run(caller), "caller-" + number);
        thread.start();
        callers.add(thread);
      }
    }

    private void stop() {
      stopped = true;
      try {
        for (Thread thread : callers) {
          thread.join();
        }
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }

    private void run(int caller) {
      int turn = caller;
      while (!stopped) {
        turn++;
        long requestedAt = System.nanoTime();
        JsonNode entry = fetchEntry("entry-" + (1 + turn % DAEMONS));
        if (entry == null) {
          continue;
        }
        Address address = Address.parse(entry.path("addresses").path(0).asText());
        Duration timeToLive = Duration.ofSeconds(entry.path("timeToLiveSeconds").asInt());
        long until = requestedAt + timeToLive.minus(EXPIRY_MARGIN).toNanos();
        while (!stopped && System.nanoTime() < until) {
          send(address, "caller-" + caller + "-" + turn);
        }
      }
    }

    /** Returns the entry from an instance, or null if it does not answer, as while it restarts. */
    private static JsonNode fetchEntry(String daemon) {
      try {
        FleetHttp.Answer answer =
            answers.fleet.call(
                HttpMethod.GET, answers.fleet.address(daemon), "/v1/entries", Map.of(), "");
        return answer.status() == 200 ? AnswerFleet.parse(answer.text()) : null;
      } catch (FleetException exception) {
        return null;
      }
    }

    private void send(Address address, String prompt) {
      int tokens = 50;
      try (StreamConnection stream = answers.connect(address, prompt, tokens)) {
        ReadAnswer read = stream.readToEnd();
        if (read.equals(AnswerFleet.expected(read.requestId(), prompt, tokens))) {
          completeAnswers.incrementAndGet();
        } else {
          failures.add(address + " " + read + " received: " + stream.received());
        }
      } catch (FleetException exception) {
        failures.add(address + " " + exception.getMessage() + " " + exception.getCause());
      }
    }
  }
}
