package org.agatefield.daemon.forward;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.ModelDemand;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Joins this instance and the planner, wherever it runs: demand and wishes for adapters go there,
 * what is placed comes back.
 *
 * <p>Invariant: of two planners the one with the higher fencing token is believed. Confined to one
 * event loop.
 */
final class PlannerClient implements ModelPlanner.Announcements {
  /** How often {@link #reportDemand()} is to be called. */
  static final long DEMAND_MILLISECONDS = 240; // a fraction of the time that a model takes to load

  /** How often {@link #announce()} is to be called. */
  static final long NOTICE_MILLISECONDS = 480; // a fraction of a takeover

  private static final Logger LOGGER = LogManager.getLogger(PlannerClient.class);
  private static final long ADAPTER_ANSWER_MILLISECONDS = 1_200;
  private static final long PLANNER_SILENCE_MILLISECONDS = 4_000;

  private final ForwardingPeers peers;
  private final ModelPresence presence;
  private final WaitingRequests waiting;
  private final DemandMeter demand;
  private final Runnable refreshLease;
  private final String self;
  private ModelPlanner planner;
  private Optional<PeerMessage.PlannerNotice> notice = Optional.empty();
  private long heardAt;

  /**
   * Creates a link.
   *
   * @param refreshLease has the planner's lease read soon
   */
  PlannerClient(
      ForwardingPeers peers,
      ModelPresence presence,
      WaitingRequests waiting,
      DemandMeter demand,
      Runnable refreshLease) {
    this.peers = peers;
    this.presence = presence;
    this.waiting = waiting;
    this.demand = demand;
    this.refreshLease = refreshLease;
    this.self = peers.self().id();
  }

  /** Sets the planner of this instance, which plans while it holds the lease. */
  void join(ModelPlanner own) {
    planner = own;
  }

  CompletableFuture<Boolean> ensureAdapter(String runner, String model, String adapter) {
    if (planner.fencingToken().isPresent()) {
      return planner.ensureAdapter(runner, model, adapter);
    }
    Optional<Instance> holder = holder();
    if (holder.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    return peers
        .request(
            holder.get(),
            new PeerMessage.AdapterRequest(runner, model, adapter),
            ADAPTER_ANSWER_MILLISECONDS)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                LOGGER.info(
                    "adapter={}/{} runner={} planner={} failed=\"{}\"",
                    model,
                    adapter,
                    runner,
                    holder.get().id(),
                    failure.toString());
              }
              return answer instanceof PeerMessage.AdapterAnswer known && known.present();
            });
  }

  /** Sends what was asked for since the call before. */
  void reportDemand() {
    List<ModelDemand> demands = demand.take();
    if (planner.fencingToken().isPresent()) {
      planner.demandReported(self, demands);
      return;
    }
    if (!demands.isEmpty()) {
      holder()
          .ifPresent(
              instance -> peers.send(instance, new PeerMessage.ModelDemandReport(self, demands)));
    }
  }

  /** Tells the others if this instance plans; forgets a planner that left or fell silent. */
  void announce() {
    planner.fencingToken().ifPresent(this::tookOver);
    boolean left =
        notice.isPresent()
            && holder().filter(member -> member.state() == InstanceState.LIVE).isEmpty();
    if (left) {
      LOGGER.info("planner={} left=true", notice.get().instance());
      notice = Optional.empty();
      refreshLease.run();
    }
    long silent = MonotonicClock.milliseconds() - heardAt;
    if (notice.isPresent() && silent > PLANNER_SILENCE_MILLISECONDS) {
      LOGGER.info("planner={} silent_ms={}", notice.get().instance(), silent);
      notice = Optional.empty();
    }
  }

  void heard(PeerMessage.PlannerNotice heard) {
    boolean newer = notice.isEmpty() || heard.fencingToken() >= notice.get().fencingToken();
    if (!newer) {
      return;
    }
    if (notice.isEmpty() || !notice.get().equals(heard)) {
      LOGGER.info("planner={} token={}", heard.instance(), heard.fencingToken());
    }
    notice = Optional.of(heard);
    heardAt = MonotonicClock.milliseconds();
  }

  void heard(PeerMessage.ModelNotice change) {
    apply(change);
  }

  void heard(PeerMessage.ModelDemandReport report) {
    planner.demandReported(report.instance(), report.demands());
  }

  /** Answers another instance that wishes for an adapter. */
  CompletableFuture<PeerMessage> answer(PeerMessage.AdapterRequest request) {
    return planner
        .ensureAdapter(request.runner(), request.model(), request.adapter())
        .thenApply(PeerMessage.AdapterAnswer::new);
  }

  @Override
  public void loaded(String runner, String model) {
    applyAndTell(new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.LOADED, 0));
  }

  @Override
  public void dropping(String runner, String model) {
    applyAndTell(new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.DROPPING, 0));
  }

  @Override
  public void loading(String runner, String model, long expectedMilliseconds) {
    applyAndTell(
        new PeerMessage.ModelNotice(
            runner, model, PeerMessage.ModelChange.LOADING, expectedMilliseconds));
  }

  @Override
  public void tookOver(long fencingToken) {
    peers.broadcast(new PeerMessage.PlannerNotice(self, fencingToken));
  }

  private void applyAndTell(PeerMessage.ModelNotice change) {
    peers.broadcast(change);
    apply(change);
  }

  private void apply(PeerMessage.ModelNotice change) {
    long now = MonotonicClock.milliseconds();
    switch (change.change()) {
      case LOADED -> {
        presence.announceModel(change.runner(), change.model());
        waiting.wake();
      }
      case DROPPING -> presence.withdrawModel(change.runner(), change.model(), now);
      case LOADING ->
          presence.expectModel(
              change.runner(), change.model(), now + change.expectedMilliseconds());
      default -> throw new IllegalStateException("unknown change " + change.change());
    }
  }

  private Optional<Instance> holder() {
    return notice.flatMap(known -> peers.member(known.instance()));
  }
}
