package org.agatefield.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Priority;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.placement.AdapterReservation;
import org.agatefield.placement.LedgerEntry;
import org.agatefield.placement.LedgerState;
import org.agatefield.placement.RunnerLedger;

/**
 * The runners, their ledgers, and the replicas and load reports published to entry instances.
 * Confined to the driver's thread.
 */
final class Fleet implements ConfigurationSource, ReplicaDirectory {
  static final String VERSION = "1";
  private static final long RUNNER_MEGABYTES = 80_000;
  private static final long ADAPTER_MEGABYTES = 200;
  private static final int FIRST_PORT = 10_000;

  final Map<String, Runner> runners = new LinkedHashMap<>();
  final Map<String, RunnerLedger> ledgers = new HashMap<>();
  private final ConfigurationDocument document;
  private final Map<String, LoadReport> reports = new HashMap<>();
  private final Map<String, Boolean> detectedAlive = new HashMap<>();
  private List<Replica> replicas = List.of();

  Fleet(UserProfile profile, ServiceTimes times) {
    List<Upstream> upstreams = new ArrayList<>();
    for (int number = 0; number < profile.runnerDomains().size(); number++) {
      Upstream upstream = upstream(profile, number);
      upstreams.add(upstream);
      runners.put(upstream.name(), new Runner(upstream.name(), times));
      ledgers.put(upstream.name(), RunnerLedger.empty(upstream.name(), RUNNER_MEGABYTES));
      detectedAlive.put(upstream.name(), true);
    }
    document = document(profile, upstreams);
  }

  static String modelName(int model) {
    return String.format(Locale.ROOT, "model-%02d", model);
  }

  static String adapterName(int model, int adapter) {
    return modelName(model) + "-adapter-" + adapter;
  }

  static int adaptersOf(UserProfile profile, int model) {
    int rest = profile.adapters() % profile.models();
    return profile.adapters() / profile.models() + (model < rest ? 1 : 0);
  }

  static String callerName(int caller) {
    return "caller-" + caller;
  }

  private static Upstream upstream(UserProfile profile, int number) {
    return new Upstream(
        "runner-" + number,
        UpstreamKind.MODEL_RUNNER,
        new Address("127.0.0.1", FIRST_PORT + number),
        profile.runnerDomains().get(number),
        1,
        RUNNER_MEGABYTES,
        true,
        Optional.empty());
  }

  private static ConfigurationDocument document(UserProfile profile, List<Upstream> upstreams) {
    List<Deployment> deployments = new ArrayList<>();
    List<Adapter> adapters = new ArrayList<>();
    for (int model = 0; model < profile.models(); model++) {
      long megabytes = 12_000 + 4_000L * (model * 7 % 5);
      DeploymentVersion version = new DeploymentVersion(VERSION, megabytes, 1);
      deployments.add(new Deployment(modelName(model), List.of(version), Priority.INTERACTIVE, 1));
      for (int adapter = 0; adapter < adaptersOf(profile, model); adapter++) {
        adapters.add(new Adapter(adapterName(model, adapter), modelName(model), ADAPTER_MEGABYTES));
      }
    }
    List<Caller> callers = new ArrayList<>();
    for (int caller = 0; caller < DemandGenerator.CALLERS; caller++) {
      callers.add(new Caller(callerName(caller), "", 1, Priority.INTERACTIVE));
    }
    return new ConfigurationDocument(
        1, deployments, adapters, callers, List.of(), upstreams, profile.weightStore());
  }

  /** Publishes the replicas in the ledgers to the entry instances. */
  void publishReplicas() {
    List<Replica> published = new ArrayList<>();
    for (RunnerLedger ledger : ledgers.values()) {
      if (!detectedAlive.get(ledger.upstream())) {
        continue;
      }
      for (LedgerEntry entry : ledger.entries()) {
        if (entry.state() == LedgerState.SERVING || entry.state() == LedgerState.DRAINING) {
          published.add(replica(ledger.upstream(), entry));
        }
      }
    }
    replicas = List.copyOf(published);
  }

  private static Replica replica(String upstream, LedgerEntry entry) {
    Set<String> adapters =
        entry.adapters().stream().map(AdapterReservation::name).collect(Collectors.toSet());
    boolean draining = entry.state() == LedgerState.DRAINING;
    return new Replica(entry.version(), upstream, draining, adapters);
  }

  /** Collects a load report from every reachable runner. */
  void collectReports() {
    for (Runner runner : runners.values()) {
      if (runner.isAlive() && !runner.isUnreachable()) {
        reports.put(runner.name, report(runner));
      }
    }
  }

  LoadReport report(Runner runner) {
    return new LoadReport(
        runner.bootIdentifier(),
        RUNNER_MEGABYTES,
        ledgers.get(runner.name).reservedMegabytes(),
        runner.running(),
        runner.waitingCount(),
        List.of(),
        List.copyOf(runner.loadedAdapters),
        0);
  }

  void setDetectedAlive(String runner, boolean alive) {
    detectedAlive.put(runner, alive);
    publishReplicas();
  }

  boolean isDetectedAlive(String runner) {
    return detectedAlive.get(runner);
  }

  @Override
  public ConfigurationDocument current() {
    return document;
  }

  @Override
  public void subscribe(Consumer<ConfigurationDocument> listener) {
    listener.accept(document);
  }

  @Override
  public List<Replica> replicas() {
    return replicas;
  }

  @Override
  public Optional<LoadReport> loadReport(String upstream) {
    return Optional.ofNullable(reports.get(upstream));
  }
}
