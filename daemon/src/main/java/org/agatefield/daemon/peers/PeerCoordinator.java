package org.agatefield.daemon.peers;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.DemandDirectory;
import org.agatefield.daemon.core.DemandSource;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.membership.MembershipEvent;
import org.agatefield.membership.MembershipSettings;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.DemandSample;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.peer.NettyPeerTransport;
import org.agatefield.peer.PeerHandler;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerTls;
import org.agatefield.peer.PeerTransportSettings;
import org.agatefield.store.InstanceList;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exchanges membership, configuration, leaving upstreams, demand and evidence about crashes with
 * the other instances.
 *
 * <p>Invariants: mutable state is confined to a dedicated event loop; other threads read immutable
 * snapshots. An instance that has left never becomes live again. Safe for use by any thread.
 */
public final class PeerCoordinator
    implements InstanceDirectory, DemandDirectory, RequestQuarantine.Fleet, AutoCloseable {
  private static final long LIST_INTERVAL_MILLISECONDS = 1_000;
  private static final long SHUTDOWN_TIMEOUT_MILLISECONDS = 2_000;

  private final Closer closer = new Closer();
  private final EventLoop loop;
  private final NettyPeerTransport transport;
  private final MembershipDriver members;
  private final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();
  private final ConfigurationSynchronizer configuration;
  private final DemandAggregation demand;
  private final InstanceList instanceList;
  private final ConfigurationSource source;
  private final List<Address> settingsSeeds;
  private final MembershipSettings settings;
  private volatile Set<String> leavingNames = Set.of();
  private volatile Consumer<PeerMessage.CrashEvidence> crashEvidence = evidence -> {};

  /**
   * Opens the peer listener; this instance is not announced to others before {@link #join()}.
   *
   * @param self this instance, with an identifier that has never been used before
   * @param seeds addresses of peers from the settings
   * @param instanceList the platform's list of instances, which may be out of date
   * @throws AgatefieldException if the listener for the peer address cannot be opened
   */
  public PeerCoordinator(
      Instance self,
      List<Address> seeds,
      Optional<PeerTls> tls,
      InstanceList instanceList,
      ConfigurationSource source,
      ConfigurationSink sink,
      DemandSource demandSource,
      MetricRegistry metrics,
      UniformRandomProvider random) {
    this.instanceList = instanceList;
    this.source = source;
    this.settingsSeeds = List.copyOf(seeds);
    this.settings = MembershipSettings.defaults();
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    closer.register(
        () -> group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
    this.loop = (EventLoop) group.next();
    this.transport = openTransport(group, self, tls);
    this.members =
        new MembershipDriver(
            self,
            settings,
            transport,
            random,
            () -> leavingUpstreams.nextNotices(now()),
            this::generationObserved);
    Supplier<List<Instance>> instances = members::alive;
    this.configuration =
        new ConfigurationSynchronizer(self, loop, transport, source, sink, random, instances);
    this.demand =
        new DemandAggregation(
            self, loop, transport, demandSource, instances, random, PeerCoordinator::now);
    registerMetrics(metrics);
  }

  /**
   * Announces this instance to the others, which direct callers to it from then on. Called once,
   * after the listener for callers is open.
   */
  public void join() {
    transport.listen(new Handler());
    loop.execute(this::start);
    instanceList.subscribe(snapshot -> loop.execute(this::readList));
    source.subscribe(
        document ->
            loop.execute(
                () -> handle(new MembershipEvent.GenerationRaised(document.generation()))));
  }

  private NettyPeerTransport openTransport(
      MultiThreadIoEventLoopGroup group, Instance instance, Optional<PeerTls> tls) {
    try {
      return closer.register(
          new NettyPeerTransport(
              group, instance.peerAddress(), PeerTransportSettings.defaults(), tls));
    } catch (AgatefieldException exception) {
      closer.close();
      throw exception;
    }
  }

  private void start() {
    readList();
    demand.start();
    long tick = settings.tickMilliseconds();
    loop.scheduleAtFixedRate(this::tick, tick, tick, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        this::readList,
        LIST_INTERVAL_MILLISECONDS,
        LIST_INTERVAL_MILLISECONDS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public Instance self() {
    return members.self();
  }

  @Override
  public Collection<Instance> alive() {
    return members.alive();
  }

  @Override
  public Set<String> leavingUpstreams() {
    return leavingNames;
  }

  @Override
  public List<DemandSample> totalDemand() {
    return demand.total();
  }

  /**
   * Sets who receives what other instances know of crashes, on the event loop; called before {@link
   * #join()}.
   */
  public void onCrashEvidence(Consumer<PeerMessage.CrashEvidence> receiver) {
    crashEvidence = receiver;
  }

  @Override
  public List<Instance> answering() {
    return members.reachable();
  }

  @Override
  public void broadcast(PeerMessage message) {
    String id = self().id();
    members.alive().stream()
        .filter(instance -> !instance.id().equals(id))
        .forEach(instance -> send(instance, message));
  }

  @Override
  public void send(Instance instance, PeerMessage message) {
    transport.send(instance.peerAddress(), message);
  }

  /** Marks this instance permanently as leaving and announces it to the others. */
  public void leave() {
    loop.execute(() -> handle(new MembershipEvent.LeaveRequested()));
  }

  @Override
  public void close() {
    closer.close();
  }

  private void tick() {
    handle(new MembershipEvent.Tick());
    leavingNames = leavingUpstreams.names(now());
  }

  private void handle(MembershipEvent event) {
    members.handle(event);
  }

  private void generationObserved(Instance holder, long generation) {
    configuration.generationObserved(holder, generation);
  }

  private void readList() {
    InstanceList.Snapshot snapshot = instanceList.current();
    List<Address> seeds = new ArrayList<>(settingsSeeds);
    snapshot.entries().forEach(entry -> seeds.add(entry.peerAddress()));
    handle(new MembershipEvent.SeedsChanged(seeds));
    leavingUpstreams.listChanged(snapshot, now(), transmissions());
    upstreamsChanged();
  }

  private void upstreamsChanged() {
    leavingNames = leavingUpstreams.names(now());
    if (leavingUpstreams.hasPendingNotices()) {
      handle(new MembershipEvent.GossipRequested());
    }
  }

  private int transmissions() {
    return settings.transmissions(members.alive().size());
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void registerMetrics(MetricRegistry metrics) {
    gauge(metrics, "members", () -> members.alive().size());
    gauge(metrics, "leaving-upstreams", () -> leavingNames.size());
    gauge(metrics, "messages-sent", transport.traffic()::messagesSent);
    gauge(metrics, "messages-received", transport.traffic()::messagesReceived);
    gauge(metrics, "bytes-sent", transport.traffic()::bytesSent);
    gauge(metrics, "bytes-received", transport.traffic()::bytesReceived);
    gauge(metrics, "messages-dropped", transport.traffic()::messagesDropped);
    gauge(metrics, "connections-opened", transport.traffic()::connectionsOpened);
    gauge(metrics, "connections-open", transport::openConnections);
    gauge(metrics, "configuration-requests", configuration::requests);
  }

  private static <T> void gauge(MetricRegistry metrics, String name, Gauge<T> value) {
    metrics.registerGauge("agatefield.peers." + name, value);
  }

  /** Handles messages and requests from peers; called on the event loop. */
  private final class Handler implements PeerHandler {
    @Override
    public void received(PeerMessage message) {
      if (message instanceof PeerMessage.Membership step) {
        if (leavingUpstreams.addNotices(step.leavingUpstreams(), now(), transmissions())) {
          upstreamsChanged();
        }
        members.received(step);
      } else if (message instanceof PeerMessage.DemandReport report) {
        demand.received(report);
      } else if (message instanceof PeerMessage.CrashEvidence evidence) {
        crashEvidence.accept(evidence);
      }
    }

    @Override
    public CompletableFuture<PeerMessage> requested(PeerMessage request) {
      if (request instanceof PeerMessage.ConfigurationRequest asked) {
        return configuration.answer(asked);
      }
      if (request instanceof PeerMessage.DemandRequest asked) {
        return demand.answer(asked);
      }
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.INTERNAL, "unsupported peer request"));
    }
  }
}
