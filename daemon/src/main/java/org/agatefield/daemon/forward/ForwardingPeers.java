package org.agatefield.daemon.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agatefield.daemon.peers.MembershipDriver;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.membership.DomainRelays;
import org.agatefield.membership.MembershipEvent;
import org.agatefield.membership.MembershipSettings;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.peer.NettyPeerTransport;
import org.agatefield.peer.PeerHandler;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerTransportSettings;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Manages membership and messages between forwarding daemons.
 *
 * <p>Membership, transport and listener share the daemon's event loop, so that a message wakes only
 * one thread. Created and closed by other threads, which wait for the loop; otherwise safe for use
 * by any thread.
 */
final class ForwardingPeers
    implements LoadExchange.Fleet,
        RegionalQuotaPolicy.Fleet,
        RunnerPermits.Fleet,
        RequestQuarantine.Fleet,
        AutoCloseable {
  // Callers use a directory response that lists a dead instance for seconds, so dead instances are
  // detected in about two seconds.
  private static final long PROBE_MILLISECONDS = 600;
  // Four times the latency between regions.
  private static final long PROBE_TIMEOUT_MILLISECONDS = 250;
  private static final int SUSPICION_PROBES = 3;
  // Within this time an instance receives several messages from others through its own probes
  // alone.
  private static final long ISOLATION_MILLISECONDS = 1_500;
  // A starting fleet exchanges updates about every pair of members, so fewer and larger messages
  // are used.
  private static final int UPDATES_PER_MESSAGE = 24; // About 3 KB.
  // Full state exchanges deliver updates that are missed.
  private static final int TRANSMIT_MULTIPLIER = 2;

  private final Closer closer = new Closer();
  private final ContextInternal context;
  private final EventLoop loop;
  private final NettyPeerTransport transport;
  private final MembershipDriver members;
  private final MembershipSettings settings;
  private Listener listener; // Set on the event loop before any message is passed to it.
  private volatile RelayView relayView;
  private volatile long lastMessageAt = MonotonicClock.milliseconds();

  private record RelayView(List<Instance> answering, DomainRelays relays) {}

  /** Receives messages on the daemon's event loop. */
  interface Listener {
    /** Called when a member announces its configuration version. */
    void configurationAnnounced(Instance holder, long version);

    /** Called with a message that expects no response. */
    void received(PeerMessage message);

    /** Called with a request; the future provides the response or the failure. */
    CompletableFuture<PeerMessage> requested(PeerMessage request);
  }

  /**
   * Opens the peer port, but discards messages until {@link #start}.
   *
   * @param context its event loop runs everything; it must not be that of the calling thread
   */
  ForwardingPeers(
      Instance self,
      Context context,
      MetricRegistry metrics,
      UniformRandomProvider random,
      PeerTransportSettings transportSettings) {
    this.context = (ContextInternal) context;
    this.relayView = new RelayView(List.of(), new DomainRelays(self, List.of(self), List.of(self)));
    this.settings =
        MembershipSettings.defaults()
            .withProbes(PROBE_MILLISECONDS, PROBE_TIMEOUT_MILLISECONDS, SUSPICION_PROBES)
            .withGossip(UPDATES_PER_MESSAGE, TRANSMIT_MULTIPLIER);
    this.loop = this.context.nettyEventLoop();
    this.transport =
        closer.register(
            new NettyPeerTransport(loop, self.peerAddress(), transportSettings, Optional.empty()));
    this.members =
        new MembershipDriver(
            self,
            settings,
            transport,
            random,
            List::of,
            (holder, version) -> listener.configurationAnnounced(holder, version));
    metrics.registerGauge("agatefield.peers.members", (Gauge<Integer>) () -> alive().size());
    metrics.registerGauge(
        "agatefield.peers.bytes-sent", (Gauge<Long>) transport.traffic()::bytesSent);
  }

  /** Starts to handle messages and to contact the seeds; called on the event loop. */
  void start(List<Address> seeds, Listener messageListener) {
    listener = messageListener;
    transport.listen(new Handler());
    handle(new MembershipEvent.SeedsChanged(seeds));
    long tick = settings.tickMilliseconds();
    Future<?> ticks =
        loop.scheduleAtFixedRate(
            () -> handle(new MembershipEvent.Tick()), tick, tick, TimeUnit.MILLISECONDS);
    closer.register(() -> ticks.cancel(false));
  }

  /** Passes an event to the membership unless the event loop is shutting down. */
  private void handle(MembershipEvent event) {
    if (!loop.isShuttingDown()) {
      context.emit(run -> members.handle(event));
    }
  }

  @Override
  public Instance self() {
    return members.self();
  }

  /** Returns every instance considered alive, this one first. */
  List<Instance> alive() {
    return members.alive();
  }

  @Override
  public boolean isIsolated() {
    boolean others = alive().size() > 1;
    return others && MonotonicClock.milliseconds() - lastMessageAt > ISOLATION_MILLISECONDS;
  }

  /** Returns every instance that is alive and not suspected, this one first. */
  @Override
  public List<Instance> answering() {
    return members.reachable();
  }

  /** Replaces the seed addresses at which instances are discovered. */
  void seedsChanged(List<Address> seeds) {
    handle(new MembershipEvent.SeedsChanged(seeds));
  }

  Optional<Instance> member(String id) {
    return alive().stream().filter(instance -> instance.id().equals(id)).findFirst();
  }

  /** Announces the configuration version of this instance to the others. */
  void announceConfigurationVersion(long version) {
    handle(new MembershipEvent.GenerationRaised(version));
  }

  /** Permanently marks this instance as leaving and announces it to the others. */
  void leave() {
    handle(new MembershipEvent.LeaveRequested());
  }

  @Override
  public DomainRelays relays() {
    List<Instance> answering = answering();
    RelayView view = relayView;
    if (view.answering() != answering) {
      view = new RelayView(answering, new DomainRelays(self(), alive(), answering));
      relayView = view;
    }
    return view.relays();
  }

  @Override
  public void broadcast(PeerMessage message) {
    sendToNeighbours(message);
    relays().directPeers().forEach(instance -> send(instance, message));
    PeerMessage relayed = new PeerMessage.Relayed(message);
    relays().relays().forEach(instance -> send(instance, relayed));
  }

  private void sendToNeighbours(PeerMessage message) {
    relays().neighbours().forEach(instance -> send(instance, message));
  }

  @Override
  public void send(Instance instance, PeerMessage message) {
    transport.send(instance.peerAddress(), message);
  }

  /**
   * Sends a request; the future completes on the daemon's event loop, with a {@link
   * org.agatefield.peer.PeerRefusalException} if the instance does not support the request.
   *
   * @param limitMilliseconds the response timeout
   */
  @Override
  public CompletableFuture<PeerMessage> request(
      Instance instance, PeerMessage message, long limitMilliseconds) {
    CompletableFuture<PeerMessage> answered = new CompletableFuture<>();
    Future<?> limit =
        loop.schedule(
            () ->
                answered.completeExceptionally(
                    new TimeoutException("no response within the time limit")),
            limitMilliseconds,
            TimeUnit.MILLISECONDS);
    transport
        .request(instance.peerAddress(), message)
        .whenComplete(
            (answer, failure) ->
                context.emit(
                    run -> {
                      limit.cancel(false);
                      if (failure != null) {
                        answered.completeExceptionally(AgatefieldException.from(failure));
                      } else {
                        answered.complete(answer);
                      }
                    }));
    return answered;
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Handles messages of peers on the event loop. */
  private final class Handler implements PeerHandler {
    @Override
    public void received(PeerMessage message) {
      context.emit(
          run -> {
            lastMessageAt = MonotonicClock.milliseconds();
            if (message instanceof PeerMessage.Membership step) {
              members.received(step);
            } else if (message instanceof PeerMessage.Relayed relayed) {
              sendToNeighbours(relayed.message());
              listener.received(relayed.message());
            } else {
              listener.received(message);
            }
          });
    }

    @Override
    public CompletableFuture<PeerMessage> requested(PeerMessage request) {
      CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
      context.emit(
          run ->
              listener
                  .requested(request)
                  .whenComplete(
                      (message, failure) -> {
                        if (failure != null) {
                          answer.completeExceptionally(
                              new AgatefieldException(
                                  ErrorKind.INTERNAL, "the request has no answer", failure));
                        } else {
                          answer.complete(message);
                        }
                      }));
      return answer;
    }
  }
}
