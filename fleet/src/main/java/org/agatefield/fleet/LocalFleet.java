package org.agatefield.fleet;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.FailureDomain;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The processes of a fleet on this machine: stand-ins of the platform and of the upstreams, and
 * daemons.
 *
 * <p>Invariant: each process is known by name and listens at the same address over restarts; {@link
 * #close()} ends exactly the processes that were started here. For use by one thread.
 */
public final class LocalFleet implements AutoCloseable {
  /** The bearer token of operators. */
  public static final String OPERATOR_TOKEN = "operator-token-of-the-local-fleet";

  private static final String STANDIN = "org.agatefield.standin.";
  private static final String DAEMON_MAIN = "org.agatefield.daemon.AgatefieldMain";
  private static final String STORE = "store";
  private static final String WEIGHTS = "weights";
  private static final int DAEMON_MEGABYTES = 128;
  private static final int STANDIN_MEGABYTES = 192;
  private static final Duration START_LIMIT = Duration.ofSeconds(60);
  private static final Duration CALL_LIMIT = Duration.ofSeconds(20);
  private static final long POLL_MILLISECONDS = 50;
  private static final int ACCEPTED = 200;
  private static final int CONFLICT = 409;

  private final Closer closer = new Closer();
  private final FreePorts ports = new FreePorts();
  private final FleetPlan plan;
  private final ProgramLauncher launcher;
  private final FleetHttp http = closer.register(new FleetHttp());
  private final Map<String, Address> addresses = new LinkedHashMap<>();
  private final Map<String, Address> peerAddresses = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Map<String, List<String>> daemonOptions = new LinkedHashMap<>();
  private String daemonMain = DAEMON_MAIN;
  private String limitKeys = "";
  private String moreTables = "";
  private Optional<Address> storeForDaemons = Optional.empty();

  /**
   * Chooses addresses; starts nothing yet.
   *
   * @param runDirectory where settings and logs go
   */
  public LocalFleet(FleetPlan plan, Path runDirectory) {
    this.plan = plan;
    this.launcher = new ProgramLauncher(runDirectory);
    addresses.put(STORE, ports.next());
    addresses.put(WEIGHTS, ports.next());
    plan.engines().forEach(engine -> addresses.put(engine.name(), ports.next()));
    plan.services().forEach(service -> addresses.put(service.name(), ports.next()));
    plan.instances().forEach(this::chooseAddresses);
  }

  private void chooseAddresses(FleetPlan.Entry entry) {
    addresses.put(entry.name(), ports.next());
    peerAddresses.put(entry.name(), ports.next());
  }

  /** Lets programs be compiled for speed, for measurements. */
  public LocalFleet withFullCompilation() {
    launcher.useFullCompilation();
    return this;
  }

  /** Starts daemons with another main class, such as one that sets a test's hook. */
  public LocalFleet withDaemonMain(String mainClass) {
    daemonMain = mainClass;
    return this;
  }

  /** Gives one daemon further options of the virtual machine from its next start on. */
  public LocalFleet withDaemonOptions(String name, List<String> options) {
    daemonOptions.put(name, List.copyOf(options));
    return this;
  }

  /** Adds keys to the table {@code [limits]} of each daemon's settings. */
  public LocalFleet withLimits(String keys) {
    limitKeys = keys;
    return this;
  }

  /** Adds tables to each daemon's settings, as TOML text. */
  public LocalFleet withTables(String tables) {
    moreTables = tables;
    return this;
  }

  /** Lets daemons reach the store at another address, such as a relay's. */
  public LocalFleet withStoreAddress(Address address) {
    storeForDaemons = Optional.of(address);
    return this;
  }

  /** Starts everything, waits until it answers, and applies the plan's configuration. */
  public LocalFleet startAll() {
    startPlatform();
    startUpstreams();
    startDaemons();
    await("the configuration is accepted", START_LIMIT, this::isConfigured);
    awaitServing();
    return this;
  }

  /**
   * An answer may be lost on a busy machine; then a conflict says that the document is in force.
   */
  private boolean isConfigured() {
    try {
      int status = apply(configuration()).status();
      return status == ACCEPTED || status == CONFLICT;
    } catch (FleetException exception) {
      return false;
    }
  }

  /** Starts the stand-ins of the platform and fills its instance list. */
  public void startPlatform() {
    startStandin(STORE, "store.StoreStandinMain", List.of());
    startStandin(
        WEIGHTS,
        "weights.WeightStoreStandinMain",
        List.of(
            "--loads-per-second",
            Double.toString(plan.weights().loadsPerSecond()),
            "--concurrent-loads",
            Integer.toString(plan.weights().concurrentLoads())));
    awaitAnswering(STORE);
    awaitAnswering(WEIGHTS);
    plan.instances().forEach(this::registerEntry);
    plan.engines().forEach(each -> register(each.name(), "UPSTREAM", each.failureDomain()));
    plan.services().forEach(each -> register(each.name(), "UPSTREAM", each.failureDomain()));
  }

  /** Starts the stand-ins of engines and services and waits until they answer. */
  public void startUpstreams() {
    plan.engines().forEach(engine -> startEngine(engine.name()));
    plan.services().forEach(service -> startService(service.name()));
    plan.engines().forEach(engine -> awaitAnswering(engine.name()));
    plan.services().forEach(service -> awaitAnswering(service.name()));
  }

  /** Starts every daemon and waits until each answers. */
  public void startDaemons() {
    plan.instances().forEach(entry -> startDaemon(entry.name()));
    plan.instances().forEach(entry -> awaitAnswering(entry.name()));
  }

  /** Starts one engine's stand-in. */
  public ManagedProcess startEngine(String name) {
    FleetPlan.Engine engine =
        plan.engines().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow();
    return startStandin(
        name,
        "engine.EngineStandinMain",
        List.of(
            "--name",
            name,
            "--memory-megabytes",
            Long.toString(engine.memoryMegabytes()),
            "--checks-fencing-tokens",
            Boolean.toString(engine.checksFencingTokens()),
            "--token-milliseconds",
            Integer.toString(engine.tokenMilliseconds()),
            "--batch",
            Integer.toString(engine.batch()),
            "--weights",
            address(WEIGHTS).toString()));
  }

  /** Starts one plain service's stand-in. */
  public ManagedProcess startService(String name) {
    return startStandin(name, "service.ServiceStandinMain", List.of("--name", name));
  }

  /** Starts the store's stand-in, empty. */
  public ManagedProcess startStore() {
    return startStandin(STORE, "store.StoreStandinMain", List.of());
  }

  /** Starts one daemon. */
  public ManagedProcess startDaemon(String name) {
    Path settings = launcher.runDirectory().resolve(name + ".toml");
    try {
      Files.writeString(settings, settingsOf(name));
    } catch (IOException exception) {
      throw new FleetException("the settings of " + name + " cannot be written", exception);
    }
    ManagedProcess process =
        launcher.start(
            name,
            address(name),
            DAEMON_MEGABYTES,
            daemonOptions.getOrDefault(name, List.of()),
            daemonMain,
            List.of("--settings", settings.toString()));
    processes.put(name, process);
    return process;
  }

  private ManagedProcess startStandin(String name, String mainClass, List<String> arguments) {
    List<String> all = new ArrayList<>();
    all.add("--port");
    all.add(Integer.toString(address(name).port()));
    all.addAll(arguments);
    ManagedProcess process =
        launcher.start(name, address(name), STANDIN_MEGABYTES, List.of(), STANDIN + mainClass, all);
    processes.put(name, process);
    return process;
  }

  private String settingsOf(String name) {
    FleetPlan.Entry entry =
        plan.instances().stream()
            .filter(each -> each.name().equals(name))
            .findFirst()
            .orElseThrow();
    String seeds =
        String.join(", ", peerAddresses.values().stream().map(each -> "\"" + each + "\"").toList());
    String template =
        """
        [instance]
        name = "%s"
        region = "%s"
        failure_domain = "%s"

        [listen]
        callers = "%s"
        peers = "%s"

        [platform]
        store = "%s"
        store_timeout_milliseconds = 1000
        poll_interval_seconds = 5

        [membership]
        seeds = [%s]

        [operators]
        token_sha256 = "%s"

        [limits]
        %s
        %s
        """;
    return template.formatted(
        name,
        entry.failureDomain().region(),
        entry.failureDomain().name(),
        address(name),
        peerAddresses.get(name),
        storeForDaemons.orElse(address(STORE)),
        seeds,
        DigestUtils.sha256Hex(OPERATOR_TOKEN),
        limitKeys,
        moreTables);
  }

  private void registerEntry(FleetPlan.Entry entry) {
    String more =
        ",\"callerAddress\":\"%s\",\"peerAddress\":\"%s\""
            .formatted(address(entry.name()), peerAddresses.get(entry.name()));
    registerWith(entry.name(), "ENTRY", entry.failureDomain(), more);
  }

  private void register(String name, String role, FailureDomain domain) {
    registerWith(name, role, domain, "");
  }

  private void registerWith(String name, String role, FailureDomain domain, String more) {
    String body =
        """
        {"apiVersion":"agatefield.org/v1","kind":"Instance","metadata":{"name":"%s"},
         "spec":{"role":"%s","state":"LIVE","region":"%s","failureDomain":"%s"%s}}
        """
            .formatted(name, role, domain.region(), domain.name(), more);
    FleetHttp.Answer answer =
        call(HttpMethod.POST, address(STORE), InstanceObjects.COLLECTION, Map.of(), body);
    if (answer.status() >= 300) {
      throw new FleetException("the instance list refused " + name + ": " + answer.text());
    }
  }

  /** Marks an instance or upstream as leaving in the platform's list. */
  public void markLeaving(String name) {
    new InstanceObjects(http, address(STORE)).setState(name, "LEAVING");
  }

  /** Marks an instance or upstream as live in the platform's list. */
  public void markLive(String name) {
    new InstanceObjects(http, address(STORE)).setState(name, "LIVE");
  }

  /** Returns the configuration of the plan, written against generation 0. */
  public ConfigurationDocument configuration() {
    return SampleConfiguration.of(plan, addresses);
  }

  /** Applies a document at the first daemon and returns the answer. */
  public FleetHttp.Answer apply(ConfigurationDocument document) {
    return apply(plan.instances().get(0).name(), document);
  }

  /** Applies a document at a daemon and returns the answer. */
  public FleetHttp.Answer apply(String daemon, ConfigurationDocument document) {
    Map<String, String> headers =
        Map.of("Authorization", "Bearer " + OPERATOR_TOKEN, "Content-Type", "application/json");
    return call(
        HttpMethod.PUT,
        address(daemon),
        "/operator/configuration",
        headers,
        ConfigurationWriter.toText(document));
  }

  /** Waits until each daemon answers a short request to each model. */
  public void awaitServing() {
    for (FleetPlan.Entry entry : plan.instances()) {
      for (FleetPlan.Model model : plan.models()) {
        await(
            entry.name() + " serves " + model.name(),
            START_LIMIT,
            () -> isServing(entry.name(), model.name()));
      }
    }
  }

  private boolean isServing(String daemon, String model) {
    try {
      return complete(daemon, model, "ready?").status() == 200;
    } catch (FleetException exception) {
      return false;
    }
  }

  /** Sends a short request to a model, answered whole. */
  public FleetHttp.Answer complete(String daemon, String model, String prompt) {
    return call(
        HttpMethod.POST,
        address(daemon),
        "/v1/chat/completions",
        Map.of("Content-Type", "application/json"),
        ModelRequests.chat(model, prompt, 4, false));
  }

  /** Waits until a process answers HTTP at its address. */
  public void awaitAnswering(String name) {
    await(name + " answers", START_LIMIT, () -> isAnswering(name));
  }

  private boolean isAnswering(String name) {
    ManagedProcess process = processes.get(name);
    if (!process.isAlive()) {
      throw new FleetException(name + " ended at its start:\n" + process.logTail());
    }
    try {
      call(HttpMethod.GET, address(name), "/healthz", Map.of(), "");
      return true;
    } catch (FleetException exception) {
      return false;
    }
  }

  /** A condition to wait for. */
  @FunctionalInterface
  public interface Condition {
    /** Returns whether the condition holds. */
    boolean holds();
  }

  /** Waits for a condition, and fails with a {@link FleetException} that names it. */
  public static void await(String what, Duration limit, Condition condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.holds()) {
      if (System.nanoTime() > end) {
        throw new FleetException("not within " + limit.toSeconds() + " s: " + what);
      }
      try {
        Thread.sleep(POLL_MILLISECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new FleetException("interrupted", exception);
      }
    }
  }

  /** Calls an address and waits for the whole answer. */
  public FleetHttp.Answer call(
      HttpMethod method, Address address, String path, Map<String, String> headers, String body) {
    return FleetHttp.await(http.send(method, address, path, headers, body), CALL_LIMIT);
  }

  /** Returns the client, for calls that are not waited for. */
  public FleetHttp http() {
    return http;
  }

  /** Returns the address of a process. */
  public Address address(String name) {
    return addresses.get(name);
  }

  /** Returns the peer address of a daemon. */
  public Address peerAddress(String daemon) {
    return peerAddresses.get(daemon);
  }

  /** Returns an address that nothing listens on yet. */
  public Address freeAddress() {
    return ports.next();
  }

  /** Returns a process that was started; the last one of that name. */
  public ManagedProcess process(String name) {
    return processes.get(name);
  }

  /** Returns the processes that were started, by name. */
  public Map<String, ManagedProcess> processes() {
    return Map.copyOf(processes);
  }

  /** Returns the plan. */
  public FleetPlan plan() {
    return plan;
  }

  /** Leaves the processes running when the fleet is closed. */
  public void detach() {
    processes.clear();
  }

  @Override
  public void close() {
    processes.values().forEach(closer::register);
    processes.clear();
    closer.close();
  }
}
