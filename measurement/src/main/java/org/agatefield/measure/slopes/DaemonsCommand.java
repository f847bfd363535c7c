package org.agatefield.measure.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.fleet.ManagedProcess;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.FailureDomain;

/** Measures real daemons with stand-ins and without caller load. Used by one thread. */
@Command(name = "daemons", description = "Real daemons: store calls, processor time, memory")
public final class DaemonsCommand implements Callable<Integer> {
  private static final int DOMAINS = 11;
  private static final int REGIONS = 3;
  private static final int RECOVERY_SECONDS = 15;
  private static final long SETTLE_MILLISECONDS = 15_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(name = "--instances", description = "numbers of daemons, separated by commas")
  private String instances = "8,16";

  @Option(name = "--models", description = "number of models")
  private int models = 4;

  @Option(name = "--engines", description = "number of engine stand-ins")
  private int engines = 2;

  @Option(name = "--seconds", description = "duration of the measurement in seconds")
  private int seconds = 30;

  @Option(
      name = "--change-seconds",
      description = "seconds between configuration changes; 0 for none")
  private int changeSeconds = 0;

  @Option(name = "--store-pause-seconds", description = "duration of a store pause; 0 for none")
  private int storePauseSeconds = 0;

  @Option(name = "--bookings", description = "number of sequential non-repeatable calls")
  private int bookings = 0;

  @Override
  public Integer call() throws Exception {
    System.out.printf(
        "daemons seconds=%d models=%d engines=%d change_seconds=%d%n",
        seconds, models, engines, changeSeconds);
    for (String count : instances.split(",")) {
      measure(Integer.parseInt(count.trim()));
    }
    return 0;
  }

  private void measure(int count) throws Exception {
    Path directory = Files.createTempDirectory("agatefield-slopes");
    FleetPlan plan = plan(count);
    try (LocalFleet fleet = new LocalFleet(plan, directory)) {
      fleet.startAll();
      Thread.sleep(SETTLE_MILLISECONDS);
      final JsonNode countsBefore = counts(fleet);
      final Map<String, Double> metricsBefore = peerMetrics(fleet);
      final double processorBefore = processorSeconds(fleet);
      final long start = System.nanoTime();
      long generation = generation(fleet);
      for (int second = 1; second <= seconds; second++) {
        if (changeSeconds > 0 && second % changeSeconds == 0) {
          generation = change(fleet, generation);
        }
        Thread.sleep(1_000);
      }
      double elapsed = (System.nanoTime() - start) / 1e9;
      report(fleet, count, elapsed, processorSeconds(fleet) - processorBefore);
      reportMetrics(metricsBefore, peerMetrics(fleet), count * elapsed);
      reportCounts(countsBefore, counts(fleet), elapsed);
      if (bookings > 0) {
        reportBookings(fleet);
      }
      if (storePauseSeconds > 0) {
        reportRecovery(fleet);
      }
    }
  }

  /** Prints the number of claim calls to the store per non-repeatable call. */
  private void reportBookings(LocalFleet fleet) {
    final JsonNode before = counts(fleet);
    int succeeded = 0;
    for (int each = 0; each < bookings; each++) {
      String daemon = fleet.plan().instances().get(each % fleet.plan().instances().size()).name();
      Map<String, String> headers =
          Map.of("Content-Type", "application/json", "Idempotency-Key", "slope-" + each);
      String body = "{\"slot\":" + each + "}";
      int status =
          fleet
              .call(
                  HttpMethod.POST,
                  fleet.address(daemon),
                  "/services/booking/bookings",
                  headers,
                  body)
              .status();
      succeeded += status < 300 ? 1 : 0;
    }
    JsonNode after = counts(fleet);
    System.out.printf("  bookings=%d succeeded=%d%n", bookings, succeeded);
    for (String verb : List.of("create", "get", "list", "update", "delete")) {
      double calls =
          after.path("calls").path(verb).path("claims").asDouble()
              - before.path("calls").path(verb).path("claims").asDouble();
      System.out.printf("  claims verb=%s per_booking=%.2f%n", verb, calls / bookings);
    }
  }

  private long countThenPauseStore(LocalFleet fleet) throws InterruptedException {
    final long total = counts(fleet).path("total").asLong();
    pauseStore(fleet);
    return total;
  }

  /** Prints the number of store calls in each second after a pause of the store. */
  private void reportRecovery(LocalFleet fleet) throws InterruptedException {
    long before = countThenPauseStore(fleet);
    for (int second = 1; second <= RECOVERY_SECONDS; second++) {
      Thread.sleep(1_000);
      long total = counts(fleet).path("total").asLong();
      System.out.printf("  recovery second=%d calls=%d%n", second, total - before);
      before = total;
    }
  }

  private void pauseStore(LocalFleet fleet) throws InterruptedException {
    fleet.process("store").pause();
    Thread.sleep(storePauseSeconds * 1_000L);
    fleet.process("store").resume();
  }

  private FleetPlan plan(int count) {
    List<FleetPlan.Entry> entries = new ArrayList<>();
    for (int each = 0; each < count; each++) {
      entries.add(new FleetPlan.Entry("entry-" + each, domain(each)));
    }
    List<FleetPlan.Engine> runners = new ArrayList<>();
    for (int each = 0; each < engines; each++) {
      runners.add(new FleetPlan.Engine("engine-" + each, domain(each), 400_000, each % 2 == 0));
    }
    List<FleetPlan.Model> deployed = new ArrayList<>();
    for (int each = 0; each < models; each++) {
      deployed.add(new FleetPlan.Model("model-" + each, 2_000, 1, List.of()));
    }
    return new FleetPlan(
        entries,
        runners,
        List.of(new FleetPlan.Service("booking-0", "booking", domain(0))),
        deployed,
        new FleetPlan.Weights(20, 20, 50));
  }

  private static FailureDomain domain(int number) {
    int domain = number % DOMAINS;
    return new FailureDomain("region-" + domain % REGIONS, "domain-" + domain);
  }

  private long change(LocalFleet fleet, long generation) {
    ConfigurationDocument document = fleet.configuration().withGeneration(generation);
    int status = fleet.apply(document).status();
    if (status >= 300) {
      System.out.println("change refused status=" + status + " generation=" + generation);
      return generation(fleet);
    }
    return generation + 1;
  }

  private static long generation(LocalFleet fleet) {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + LocalFleet.OPERATOR_TOKEN);
    String daemon = fleet.plan().instances().get(0).name();
    String text =
        fleet
            .call(HttpMethod.GET, fleet.address(daemon), "/operator/configuration", headers, "")
            .text();
    return read(text).path("generation").asLong();
  }

  private static JsonNode counts(LocalFleet fleet) {
    return read(fleet.call(HttpMethod.GET, fleet.address("store"), "/counts", Map.of(), "").text());
  }

  private static JsonNode read(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException exception) {
      throw new IllegalStateException("invalid JSON: " + text, exception);
    }
  }

  private static List<ManagedProcess> daemons(LocalFleet fleet) {
    return fleet.plan().instances().stream().map(entry -> fleet.process(entry.name())).toList();
  }

  private static double processorSeconds(LocalFleet fleet) {
    return daemons(fleet).stream()
        .mapToDouble(
            process ->
                ProcessHandle.of(process.identifier())
                        .flatMap(handle -> handle.info().totalCpuDuration())
                        .orElse(Duration.ZERO)
                        .toNanos()
                    / 1e9)
        .sum();
  }

  private static long residentKilobytes(ManagedProcess process) {
    Path status = Path.of("/proc", Long.toString(process.identifier()), "status");
    try {
      return Files.readAllLines(status).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static Map<String, Double> peerMetrics(LocalFleet fleet) {
    Map<String, Double> sums = new TreeMap<>();
    for (FleetPlan.Entry entry : fleet.plan().instances()) {
      fleet
          .call(HttpMethod.GET, fleet.address(entry.name()), "/metrics", Map.of(), "")
          .text()
          .lines()
          .filter(line -> line.startsWith("agatefield_peers_"))
          .map(line -> line.split(" "))
          .forEach(parts -> sums.merge(parts[0], Double.parseDouble(parts[1]), Double::sum));
    }
    return sums;
  }

  private static void report(LocalFleet fleet, int count, double elapsed, double processor) {
    long resident = daemons(fleet).stream().mapToLong(DaemonsCommand::residentKilobytes).sum();
    System.out.printf(
        "daemons=%d processor_percent_of_core=%.2f resident_megabytes=%.0f%n",
        count, 100 * processor / elapsed / count, resident / 1_024.0 / count);
  }

  private static void reportMetrics(
      Map<String, Double> before, Map<String, Double> after, double daemonSeconds) {
    after.forEach(
        (name, value) ->
            System.out.printf(
                "  %s per_daemon_second=%.2f%n",
                name, (value - before.getOrDefault(name, 0.0)) / daemonSeconds));
  }

  private static void reportCounts(JsonNode before, JsonNode after, double elapsed) {
    double total = after.path("total").asDouble() - before.path("total").asDouble();
    System.out.printf(
        "  store total_per_second=%.2f waiting_watches=%d%n",
        total / elapsed, after.path("waitingWatches").asLong());
    after
        .path("calls")
        .properties()
        .forEach(
            verb ->
                verb.getValue()
                    .properties()
                    .forEach(
                        kind ->
                            System.out.printf(
                                "  store verb=%s kind=%s per_second=%.2f%n",
                                verb.getKey(),
                                kind.getKey(),
                                (kind.getValue().asDouble()
                                        - before
                                            .path("calls")
                                            .path(verb.getKey())
                                            .path(kind.getKey())
                                            .asDouble())
                                    / elapsed)));
  }
}
