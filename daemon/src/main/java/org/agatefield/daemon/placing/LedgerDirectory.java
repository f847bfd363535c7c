package org.agatefield.daemon.placing;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.engine.EngineClient;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.placement.AdapterReservation;
import org.agatefield.placement.LedgerEntry;
import org.agatefield.placement.LedgerState;
import org.agatefield.placement.RunnerLedger;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectInformer;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.StoredObject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Provides the replicas listed in the ledgers, and load reports of the runners that are in use.
 *
 * <p>A runner's report is polled only while it is requested, so an instance polls only the runners
 * that it sends requests to. A replica is excluded while its engine reports a different boot
 * identifier than the ledger, which means that the engine has restarted. Thread-safe; {@code
 * replicas} is replaced as a whole under the object's lock.
 */
public final class LedgerDirectory implements ReplicaDirectory, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(LedgerDirectory.class);
  private static final long POLL_MILLISECONDS = 500;
  private static final long POLL_AFTER_REQUEST_NANOSECONDS = Duration.ofSeconds(30).toNanos();

  private final Vertx vertx;
  private final ConfigurationSource configuration;
  private final EngineClient engines;
  private final Closer closer = new Closer();
  private final ObjectInformer informer;
  private final Map<String, LoadReport> reports = new ConcurrentHashMap<>();
  private final Map<String, Long> lastRequestNanoseconds = new ConcurrentHashMap<>();
  private final Set<String> pollsInFlight = ConcurrentHashMap.newKeySet();
  private final Map<String, String> unreadable = new HashMap<>();
  private Map<String, StoredLedger> ledgers = Map.of();
  private volatile List<Replica> replicas = List.of();

  /** Creates a directory, which is inactive until {@link #start()} is called. */
  public LedgerDirectory(
      Vertx vertx,
      ObjectStore store,
      Duration pollInterval,
      ConfigurationSource configuration,
      EngineClient engines) {
    this.vertx = vertx;
    this.configuration = configuration;
    this.engines = engines;
    this.informer = new ObjectInformer(vertx, store, ObjectKind.LEDGER, pollInterval);
  }

  /** Starts watching the ledgers and polling reports. */
  public LedgerDirectory start() {
    informer.listen(
        new InformerListener() {
          @Override
          public void updated(Map<String, StoredObject> objects) {
            updateLedgers(objects);
          }
        });
    configuration.subscribe(document -> rebuild());
    closer.register(informer.start());
    long timer = vertx.setPeriodic(POLL_MILLISECONDS, fired -> pollReports());
    closer.register(() -> vertx.cancelTimer(timer));
    return this;
  }

  @Override
  public List<Replica> replicas() {
    return replicas;
  }

  @Override
  public Optional<LoadReport> loadReport(String upstream) {
    lastRequestNanoseconds.put(upstream, System.nanoTime());
    return Optional.ofNullable(reports.get(upstream));
  }

  /** Returns the ledgers known to this instance, by runner. */
  public synchronized Map<String, RunnerLedger> ledgers() {
    Map<String, RunnerLedger> copy = new TreeMap<>();
    ledgers.forEach((name, known) -> copy.put(name, known.ledger()));
    return copy;
  }

  @Override
  public void close() {
    closer.close();
  }

  private synchronized void updateLedgers(Map<String, StoredObject> objects) {
    Map<String, StoredLedger> newLedgers = new TreeMap<>();
    unreadable.keySet().retainAll(objects.keySet());
    for (StoredObject object : objects.values()) {
      StoredLedger known = ledgers.get(object.key().name());
      boolean unchanged = known != null && known.isOf(object);
      Optional<StoredLedger> ledger = unchanged ? Optional.of(known) : decode(object);
      ledger.ifPresent(decoded -> newLedgers.put(object.key().name(), decoded));
    }
    ledgers = newLedgers;
    rebuild();
  }

  /** Decodes a ledger; empty if it is unreadable, which is logged once for each version. */
  private Optional<StoredLedger> decode(StoredObject object) {
    try {
      return Optional.of(StoredLedger.of(object));
    } catch (IllegalStateException exception) {
      String before = unreadable.put(object.key().name(), object.resourceVersion());
      if (!object.resourceVersion().equals(before)) {
        LOGGER.warn("skipping unreadable ledger upstream={}", object.key().name(), exception);
      }
      return Optional.empty();
    }
  }

  private synchronized void rebuild() {
    ConfigurationDocument document = configuration.current();
    Map<String, Long> adapterSizes =
        document.adapters().stream()
            .collect(Collectors.toMap(Adapter::name, Adapter::memoryMegabytes));
    List<Replica> rebuilt = new ArrayList<>();
    for (StoredLedger known : ledgers.values()) {
      RunnerLedger ledger = known.ledger();
      if (document.upstream(ledger.upstream()).isEmpty() || isRestarted(ledger)) {
        continue;
      }
      for (LedgerEntry entry : ledger.entries()) {
        if (entry.isLoaded()) {
          rebuilt.add(replica(ledger, entry, adapterSizes));
        }
      }
    }
    replicas = List.copyOf(rebuilt);
  }

  private static Replica replica(
      RunnerLedger ledger, LedgerEntry entry, Map<String, Long> adapterSizes) {
    Set<String> adapters =
        entry.adapters().stream()
            .filter(
                each ->
                    each.memoryMegabytes()
                        >= adapterSizes.getOrDefault(each.name(), Long.MAX_VALUE))
            .map(AdapterReservation::name)
            .collect(Collectors.toSet());
    boolean draining = entry.state() == LedgerState.DRAINING;
    return new Replica(entry.version(), ledger.upstream(), draining, adapters);
  }

  private boolean isRestarted(RunnerLedger ledger) {
    LoadReport report = reports.get(ledger.upstream());
    return report != null && !report.bootIdentifier().equals(ledger.bootIdentifier());
  }

  private void pollReports() {
    long now = System.nanoTime();
    lastRequestNanoseconds
        .values()
        .removeIf(requestedAt -> now - requestedAt > POLL_AFTER_REQUEST_NANOSECONDS);
    reports.keySet().retainAll(lastRequestNanoseconds.keySet());
    for (String upstream : lastRequestNanoseconds.keySet()) {
      configuration
          .current()
          .upstream(upstream)
          .map(Upstream::address)
          .ifPresent(address -> poll(upstream, address));
    }
  }

  private void poll(String upstream, Address address) {
    if (!pollsInFlight.add(upstream)) {
      return;
    }
    engines
        .loadReport(address)
        .whenComplete(
            (report, failure) -> {
              pollsInFlight.remove(upstream);
              if (failure == null) {
                updateReport(upstream, report);
              }
            });
  }

  private void updateReport(String upstream, LoadReport report) {
    LoadReport earlier = reports.put(upstream, report);
    boolean restarted =
        earlier == null || !earlier.bootIdentifier().equals(report.bootIdentifier());
    if (restarted) {
      rebuild();
    }
  }
}
