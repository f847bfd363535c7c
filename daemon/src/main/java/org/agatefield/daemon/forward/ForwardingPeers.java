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
 * Membership and messages between forwarding daemons.
 *
 * <p>Membership, transport and listener share the daemon's event loop, so that a message wakes one
 * thread. Created and closed by other threads, which wait for the loop; else safe for use by any
 * thread.
 */
final class ForwardingPeers
    implements LoadExchange.Fleet, RegionalQuotaPolicy.Fleet, AutoCloseable {
  // Callers keep an answer that names a dead instance for seconds, so the dead are found in about
  // two.
  private static final long PROBE_MILLISECONDS = 600;
  private static final long PROBE_TIMEOUT_MILLISECONDS = 250; // four times the way between regions
  private static final int SUSPICION_PROBES = 3;
  // An instance hears from others several times in this span, by its own probes alone.
  private static final long ISOLATION_MILLISECONDS = 1_500;
  // A fleet that starts has news of each member for each other one: fewer and larger messages.
  private static final int UPDATES_PER_MESSAGE = 24; // some 3 KB
  private static final int TRANSMIT_MULTIPLIER = 2; // exchanges find what these miss

  private final Closer closer = new Closer();
  private final ContextInternal context;
  private final EventLoop loop;
  private final NettyPeerTransport transport;
  private final MembershipDriver members;
  private final MembershipSettings settings;
  private Listener listener; // set on the event loop before anything is handed to it
  private volatile RelayView relayView;
  private volatile long heardAt = MonotonicClock.milliseconds();

  private record RelayView(List<Instance> answering, DomainRelays relays) {}

  /** Told of messages, on the daemon's event loop. */
  interface Listener {
    /** A member has a configuration of that version. */
    void configurationAnnounced(Instance holder, long version);

    /** A message came that expects no answer. */
    void received(PeerMessage message);

    /** A request came; it is answered with the future's message, or its failure. */
    CompletableFuture<PeerMessage> requested(PeerMessage request);
  }

  /**
   * Listens for peers, but drops what they send until {@link #start}.
   *
   * @param context on whose event loop everything runs; not that of the calling thread
   */
  ForwardingPeers(
      Instance self, Context context, MetricRegistry metrics, UniformRandomProvider random) {
    this.context = (ContextInternal) context;
    this.relayView = new RelayView(List.of(), new DomainRelays(self, List.of(self), List.of(self)));
    this.settings =
        MembershipSettings.defaults()
            .withProbes(PROBE_MILLISECONDS, PROBE_TIMEOUT_MILLISECONDS, SUSPICION_PROBES)
            .withGossip(UPDATES_PER_MESSAGE, TRANSMIT_MULTIPLIER);
    this.loop = this.context.nettyEventLoop();
    this.transport =
        closer.register(
            new NettyPeerTransport(
                loop, self.peerAddress(), PeerTransportSettings.defaults(), Optional.empty()));
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

  /** Takes in what peers send, and looks for them at the seeds; called on the event loop. */
  void start(List<Address> seeds, Listener toTell) {
    listener = toTell;
    transport.listen(new Handler());
    handle(new MembershipEvent.SeedsChanged(seeds));
    long tick = settings.tickMilliseconds();
    Future<?> ticks =
        loop.scheduleAtFixedRate(
            () -> handle(new MembershipEvent.Tick()), tick, tick, TimeUnit.MILLISECONDS);
    closer.register(() -> ticks.cancel(false));
  }

  /** Hands an event to the membership, unless the event loop has ended. */
  private void handle(MembershipEvent event) {
    if (!loop.isShuttingDown()) {
      context.emit(run -> members.handle(event));
    }
  }

  @Override
  public Instance self() {
    return members.self();
  }

  /** Returns every instance believed to be alive, this one first. */
  List<Instance> alive() {
    return members.alive();
  }

  @Override
  public boolean isIsolated() {
    boolean others = alive().size() > 1;
    return others && MonotonicClock.milliseconds() - heardAt > ISOLATION_MILLISECONDS;
  }

  /** Returns every instance that is alive and not suspected, this one first. */
  @Override
  public List<Instance> answering() {
    return members.reachable();
  }

  /** Takes other addresses to look for instances at. */
  void seedsChanged(List<Address> seeds) {
    handle(new MembershipEvent.SeedsChanged(seeds));
  }

  Optional<Instance> member(String id) {
    return alive().stream().filter(instance -> instance.id().equals(id)).findFirst();
  }

  /** Tells the others which configuration this instance has. */
  void announceConfigurationVersion(long version) {
    handle(new MembershipEvent.GenerationRaised(version));
  }

  /** Marks this instance as leaving, for good, and tells the others. */
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

  /** Sends a message that may be lost to every other instance that is alive. */
  void broadcast(PeerMessage message) {
    tellNeighbours(message);
    relays().directPeers().forEach(instance -> send(instance, message));
    PeerMessage relayed = new PeerMessage.Relayed(message);
    relays().relays().forEach(instance -> send(instance, relayed));
  }

  private void tellNeighbours(PeerMessage message) {
    relays().neighbours().forEach(instance -> send(instance, message));
  }

  @Override
  public void send(Instance instance, PeerMessage message) {
    transport.send(instance.peerAddress(), message);
  }

  /**
   * Sends a request; the future completes on the daemon's event loop.
   *
   * @param limitMilliseconds how long to wait for the answer
   */
  @Override
  public CompletableFuture<PeerMessage> request(
      Instance instance, PeerMessage message, long limitMilliseconds) {
    CompletableFuture<PeerMessage> answered = new CompletableFuture<>();
    Future<?> limit =
        loop.schedule(
            () -> answered.completeExceptionally(new TimeoutException("no answer in time")),
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
                        answered.completeExceptionally(failure);
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

  /** Takes what peers send; called on the event loop. */
  private final class Handler implements PeerHandler {
    @Override
    public void received(PeerMessage message) {
      context.emit(
          run -> {
            heardAt = MonotonicClock.milliseconds();
            if (message instanceof PeerMessage.Membership step) {
              members.received(step);
            } else if (message instanceof PeerMessage.Relayed relayed) {
              tellNeighbours(relayed.message());
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
