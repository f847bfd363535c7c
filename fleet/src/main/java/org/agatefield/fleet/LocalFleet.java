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
 * Starts and stops the processes of a fleet on this machine: daemons, and stand-ins for the
 * platform and the upstreams.
 *
 * <p>Invariants: each process has a unique name and keeps its address across restarts; {@link
 * #close()} ends only processes started by this object. Not thread-safe.
 */
public final class LocalFleet implements AutoCloseable {
  /** Bearer token of the operators. */
  public static final String OPERATOR_TOKEN = "operator-token-of-the-local-fleet";

  private static final String STANDIN_PACKAGE = "org.agatefield.standin.";
  private static final String DAEMON_MAIN = "org.agatefield.daemon.AgatefieldMain";
  private static final String STORE = "store";
  private static final String WEIGHTS = "weights";
  private static final int DAEMON_HEAP_MEGABYTES = 128;
  private static final int STANDIN_HEAP_MEGABYTES = 192;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final long POLL_INTERVAL_MILLISECONDS = 50;
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
  private String additionalLimits = "";
  private String additionalTables = "";
  private Optional<Address> daemonStoreAddress = Optional.empty();

  /**
   * Allocates the addresses of all processes without starting any.
   *
   * @param runDirectory the directory for settings and logs
   */
  public LocalFleet(FleetPlan plan, Path runDirectory) {
    this.plan = plan;
    this.launcher = new ProgramLauncher(runDirectory);
    addresses.put(STORE, ports.next());
    addresses.put(WEIGHTS, ports.next());
    plan.engines().forEach(engine -> addresses.put(engine.name(), ports.next()));
    plan.services().forEach(service -> addresses.put(service.name(), ports.next()));
    plan.instances().forEach(this::allocateAddresses);
  }

  private void allocateAddresses(FleetPlan.Entry entry) {
    addresses.put(entry.name(), ports.next());
    peerAddresses.put(entry.name(), ports.next());
  }

  /** Enables full JIT compilation in the programs, for measurements. */
  public LocalFleet withFullCompilation() {
    launcher.useFullCompilation();
    return this;
  }

  /** Starts daemons with another main class, such as one that installs a test hook. */
  public LocalFleet withDaemonMain(String mainClass) {
    daemonMain = mainClass;
    return this;
  }

  /** Adds JVM options to one daemon, effective from its next start. */
  public LocalFleet withDaemonOptions(String name, List<String> options) {
    daemonOptions.put(name, List.copyOf(options));
    return this;
  }

  /** Adds keys to the table {@code [limits]} of each daemon's settings. */
  public LocalFleet withLimits(String keys) {
    additionalLimits = keys;
    return this;
  }

  /** Adds tables to each daemon's settings, as TOML text. */
  public LocalFleet withTables(String tables) {
    additionalTables = tables;
    return this;
  }

  /** Sets the address at which daemons connect to the store, such as that of a relay. */
  public LocalFleet withStoreAddress(Address address) {
    daemonStoreAddress = Optional.of(address);
    return this;
  }

  /** Starts all processes, waits until they respond, and applies the plan's configuration. */
  public LocalFleet startAll() {
    startPlatform();
    startUpstreams();
    startDaemons();
    await("the configuration is accepted", START_TIMEOUT, this::isConfigured);
    awaitServing();
    return this;
  }

  /**
   * Applies the configuration. A conflict also counts as success: if the response to an earlier
   * attempt was lost on a busy machine, the document is already in effect.
   */
  private boolean isConfigured() {
    try {
      int status = apply(configuration()).status();
      return status == ACCEPTED || status == CONFLICT;
    } catch (FleetException exception) {
      return false;
    }
  }

  /**
   * Starts the stand-ins for the platform and registers all instances and upstreams in its list.
   */
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

  /** Starts the stand-ins for engines and services and waits until they respond. */
  public void startUpstreams() {
    plan.engines().forEach(engine -> startEngine(engine.name()));
    plan.services().forEach(service -> startService(service.name()));
    plan.engines().forEach(engine -> awaitAnswering(engine.name()));
    plan.services().forEach(service -> awaitAnswering(service.name()));
  }

  /** Starts all daemons and waits until each responds. */
  public void startDaemons() {
    plan.instances().forEach(entry -> startDaemon(entry.name()));
    plan.instances().forEach(entry -> awaitAnswering(entry.name()));
  }

  /** Starts the stand-in for one engine. */
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

  /** Starts the stand-in for one runner of a plain service. */
  public ManagedProcess startService(String name) {
    return startStandin(name, "service.ServiceStandinMain", List.of("--name", name));
  }

  /** Starts the stand-in for the store, with no objects. */
  public ManagedProcess startStore() {
    return startStandin(STORE, "store.StoreStandinMain", List.of());
  }

  /** Writes the settings of one daemon and starts it. */
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
            DAEMON_HEAP_MEGABYTES,
            daemonOptions.getOrDefault(name, List.of()),
            daemonMain,
            List.of("--settings", settings.toString()));
    processes.put(name, process);
    return process;
  }

  private ManagedProcess startStandin(String name, String mainClass, List<String> arguments) {
    List<String> allArguments = new ArrayList<>();
    allArguments.add("--port");
    allArguments.add(Integer.toString(address(name).port()));
    allArguments.addAll(arguments);
    ManagedProcess process =
        launcher.start(
            name,
            address(name),
            STANDIN_HEAP_MEGABYTES,
            List.of(),
            STANDIN_PACKAGE + mainClass,
            allArguments);
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
        daemonStoreAddress.orElse(address(STORE)),
        seeds,
        DigestUtils.sha256Hex(OPERATOR_TOKEN),
        additionalLimits,
        additionalTables);
  }

  private void registerEntry(FleetPlan.Entry entry) {
    String addressFields =
        ",\"callerAddress\":\"%s\",\"peerAddress\":\"%s\""
            .formatted(address(entry.name()), peerAddresses.get(entry.name()));
    registerInstance(entry.name(), "ENTRY", entry.failureDomain(), addressFields);
  }

  private void register(String name, String role, FailureDomain domain) {
    registerInstance(name, role, domain, "");
  }

  private void registerInstance(
      String name, String role, FailureDomain domain, String additionalFields) {
    String body =
        """
        {"apiVersion":"agatefield.org/v1","kind":"Instance","metadata":{"name":"%s"},
         "spec":{"role":"%s","state":"LIVE","region":"%s","failureDomain":"%s"%s}}
        """
            .formatted(name, role, domain.region(), domain.name(), additionalFields);
    FleetHttp.Answer answer =
        call(HttpMethod.POST, address(STORE), InstanceObjects.COLLECTION, Map.of(), body);
    if (answer.status() >= 300) {
      throw new FleetException("the instance list rejected " + name + ": " + answer.text());
    }
  }

  /** Sets the state of an instance or upstream to leaving in the platform's list. */
  public void markLeaving(String name) {
    new InstanceObjects(http, address(STORE)).setState(name, "LEAVING");
  }

  /** Sets the state of an instance or upstream to live in the platform's list. */
  public void markLive(String name) {
    new InstanceObjects(http, address(STORE)).setState(name, "LIVE");
  }

  /** Returns the configuration of the plan, based on generation 0. */
  public ConfigurationDocument configuration() {
    return SampleConfiguration.of(plan, addresses);
  }

  /** Applies a document through the first daemon and returns the response. */
  public FleetHttp.Answer apply(ConfigurationDocument document) {
    return apply(plan.instances().get(0).name(), document);
  }

  /** Applies a document through a daemon and returns the response. */
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

  /** Waits until each daemon completes a short request to each model. */
  public void awaitServing() {
    for (FleetPlan.Entry entry : plan.instances()) {
      for (FleetPlan.Model model : plan.models()) {
        await(
            entry.name() + " serves " + model.name(),
            START_TIMEOUT,
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

  /** Sends a short request to a model and waits for its response, which is not streamed. */
  public FleetHttp.Answer complete(String daemon, String model, String prompt) {
    return call(
        HttpMethod.POST,
        address(daemon),
        "/v1/chat/completions",
        Map.of("Content-Type", "application/json"),
        ModelRequests.chat(model, prompt, 4, false));
  }

  /**
   * Waits until a process responds to HTTP requests at its address.
   *
   * @throws FleetException with the tail of the process's log if it does not
   */
  public void awaitAnswering(String name) {
    try {
      await(name + " answers", START_TIMEOUT, () -> isAnswering(name));
    } catch (FleetException exception) {
      throw new FleetException(
          exception.getMessage() + "; its log ends:\n" + processes.get(name).logTail(), exception);
    }
  }

  private boolean isAnswering(String name) {
    ManagedProcess process = processes.get(name);
    if (!process.isAlive()) {
      throw new FleetException(name + " exited during startup");
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

  /**
   * Waits for a condition.
   *
   * @param what the condition in words, for the exception
   * @throws FleetException if the condition does not hold within the limit
   */
  public static void await(String what, Duration limit, Condition condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.holds()) {
      if (System.nanoTime() > end) {
        throw new FleetException("not within " + limit.toSeconds() + " s: " + what);
      }
      try {
        Thread.sleep(POLL_INTERVAL_MILLISECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new FleetException("interrupted", exception);
      }
    }
  }

  /** Sends a request to an address and waits for the complete response. */
  public FleetHttp.Answer call(
      HttpMethod method, Address address, String path, Map<String, String> headers, String body) {
    return FleetHttp.await(http.send(method, address, path, headers, body), CALL_TIMEOUT);
  }

  /** Returns the HTTP client, for asynchronous calls. */
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

  /** Allocates an address that no process uses yet. */
  public Address freeAddress() {
    return ports.next();
  }

  /** Returns the most recently started process of the given name. */
  public ManagedProcess process(String name) {
    return processes.get(name);
  }

  /** Returns the most recently started process for each name. */
  public Map<String, ManagedProcess> processes() {
    return Map.copyOf(processes);
  }

  /** Returns the plan. */
  public FleetPlan plan() {
    return plan;
  }

  /** Keeps {@link #close()} from ending the processes started so far. */
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
