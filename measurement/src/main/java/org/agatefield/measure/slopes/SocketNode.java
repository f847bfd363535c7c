package org.agatefield.measure.slopes;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.peers.PeerCoordinator;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.store.InstanceList;
import org.apache.commons.rng.simple.RandomSource;

/** Runs the peer coordinator of one daemon with its own configuration and demand. Thread-safe. */
final class SocketNode implements ConfigurationSource, ConfigurationSink, AutoCloseable {
  private final List<Consumer<ConfigurationDocument>> listeners = new CopyOnWriteArrayList<>();
  private final MetricRegistry metrics = new MetricRegistry();
  private final PeerCoordinator coordinator;
  private ConfigurationDocument document = ConfigurationDocument.empty();
  private volatile long adoptedNanoseconds;

  SocketNode(
      String id,
      FailureDomain domain,
      Address address,
      List<Address> seeds,
      int models,
      long seed) {
    Instance self = new Instance(id, address, address, domain, InstanceState.LIVE);
    List<DemandSample> demand = new ArrayList<>();
    for (int model = 0; model < models; model++) {
      demand.add(new DemandSample("model-" + model, domain.region(), 1, 0, 0.1));
    }
    coordinator =
        new PeerCoordinator(
            self,
            seeds,
            Optional.empty(),
            new EmptyInstanceList(),
            this,
            this,
            () -> demand,
            metrics,
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    coordinator.join();
  }

  PeerCoordinator coordinator() {
    return coordinator;
  }

  long metric(String name) {
    return ((Number) metrics.getGauges().get("agatefield.peers." + name).getValue()).longValue();
  }

  long adoptedNanoseconds() {
    return adoptedNanoseconds;
  }

  @Override
  public synchronized ConfigurationDocument current() {
    return document;
  }

  @Override
  public synchronized void subscribe(Consumer<ConfigurationDocument> listener) {
    listeners.add(listener);
    listener.accept(document);
  }

  @Override
  public synchronized void offer(ConfigurationDocument offered) {
    if (offered.generation() > document.generation()) {
      document = offered;
      adoptedNanoseconds = System.nanoTime();
      listeners.forEach(listener -> listener.accept(offered));
    }
  }

  @Override
  public void close() {
    coordinator.close();
  }

  /** An instance list without instances. */
  private static final class EmptyInstanceList implements InstanceList {
    @Override
    public Snapshot current() {
      return Snapshot.EMPTY;
    }

    @Override
    public void subscribe(Consumer<Snapshot> listener) {}
  }
}
