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

/** Requirements REQ-GRACEFUL and REQ-LEAVING over processes. */
class ShutdownProcessTest {
  private static final int DAEMONS = 3;
  private static final int CALLERS = 9;
  private static final int EXIT_SECONDS = 120;
  private static final int LEAVING_PROBES = 20;

  /** Callers stop using an answer this long before it runs out, as the machine may be busy. */
  private static final Duration CAUTION = Duration.ofSeconds(2);

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
      int before = load.whole.get();
      LocalFleet.await("load", GENEROUS, () -> load.whole.get() > before + CALLERS);
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
  void leavingUpstreamGetsNoNewWork() {
    answers.fleet.markLeaving("engine-2");
    LocalFleet.await("no request reaches engine-2", GENEROUS, () -> startsDuringProbes() == 0);
    int afterwards = 0;
    for (int round = 0; round < 5; round++) {
      afterwards += startsDuringProbes();
    }
    assertEquals(0, afterwards);
  }

  private static int startsDuringProbes() {
    int before = starts();
    for (int probe = 0; probe < LEAVING_PROBES; probe++) {
      String daemon = "entry-" + (1 + probe % DAEMONS);
      ReadAnswer read = answers.stream(daemon, "probe-" + probe, 3).readToEnd();
      assertTrue(read.done(), read::toString);
    }
    return starts() - before;
  }

  private static int starts() {
    return answers.read("engine-2", "/violations").path("generationStarts").asInt();
  }

  private static void restart(String daemon) {
    answers.fleet.startDaemon(daemon);
    answers.fleet.awaitAnswering(daemon);
    LocalFleet.await(
        daemon + " serves", GENEROUS, () -> answers.stream(daemon, "ready", 2).readToEnd().done());
  }

  /** Callers that ask for an entry address, keep the answer, and send streams there. */
  private static final class Load {
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger whole = new AtomicInteger();
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
        long asked = System.nanoTime();
        JsonNode entry = askForEntry("entry-" + (1 + turn % DAEMONS));
        if (entry == null) {
          continue;
        }
        Address address = Address.parse(entry.path("addresses").path(0).asText());
        Duration timeToLive = Duration.ofSeconds(entry.path("timeToLiveSeconds").asInt());
        long until = asked + timeToLive.minus(CAUTION).toNanos();
        while (!stopped && System.nanoTime() < until) {
          send(address, "caller-" + caller + "-" + turn);
        }
      }
    }

    /** Asks any instance that answers; those that have ended do not. */
    private static JsonNode askForEntry(String daemon) {
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
          whole.incrementAndGet();
        } else {
          failures.add(address + " " + read);
        }
      } catch (FleetException exception) {
        failures.add(address + " " + exception.getMessage() + " " + exception.getCause());
      }
    }
  }
}
