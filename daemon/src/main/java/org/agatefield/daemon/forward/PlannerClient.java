package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.ModelDemand;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Connects this instance with the current planner: sends demand and adapter requests to it and
 * applies its placement notices.
 *
 * <p>Invariant: of two planners the one with the higher fencing token is accepted. Confined to one
 * event loop.
 */
final class PlannerClient implements ModelPlanner.Announcements, AdapterProvider {
  /** Interval at which {@link #reportDemand()} must be called. */
  static final long DEMAND_MILLISECONDS = 240; // A fraction of the load time of a model.

  /** Interval at which {@link #announce()} must be called. */
  static final long NOTICE_MILLISECONDS = 480; // A fraction of the takeover time.

  private static final Logger LOGGER = LogManager.getLogger(PlannerClient.class);
  // Shorter than the planner retains an adapter that nobody uses.
  private static final long USE_REPORT_MILLISECONDS = 1_000;
  private static final int MAXIMUM_USES = 4_096; // Adapters of a large fleet.
  private static final long ADAPTER_TIMEOUT_MILLISECONDS = 1_200;
  private static final long PLANNER_TIMEOUT_MILLISECONDS = 4_000;

  private final ForwardingPeers peers;
  private final ModelPresence presence;
  private final WaitingRequests waiting;
  private final DemandMeter demand;
  private final Runnable refreshLease;
  private final String self;
  private final Map<String, Long> useReportedAt = new HashMap<>();
  private ModelPlanner planner;
  private Optional<PeerMessage.PlannerNotice> notice = Optional.empty();
  private long noticeReceivedAt;

  /**
   * Creates a client.
   *
   * @param refreshLease requests an early read of the planner lease
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

  /** Sets the local planner, which is active while this instance holds the lease. */
  void connectLocalPlanner(ModelPlanner localPlanner) {
    planner = localPlanner;
  }

  @Override
  public void used(String runner, String model, String adapter) {
    long now = MonotonicClock.milliseconds();
    String key = runner + '/' + model + '/' + adapter;
    if (now - useReportedAt.getOrDefault(key, Long.MIN_VALUE / 2) < USE_REPORT_MILLISECONDS) {
      return;
    }
    if (useReportedAt.size() >= MAXIMUM_USES) {
      useReportedAt.values().removeIf(at -> now - at >= USE_REPORT_MILLISECONDS);
    }
    useReportedAt.put(key, now);
    ensure(runner, model, adapter)
        .thenAccept(
            present -> {
              if (present) {
                presence.confirmAdapter(runner, model, adapter, MonotonicClock.milliseconds());
              }
            });
  }

  @Override
  public CompletableFuture<Boolean> ensure(String runner, String model, String adapter) {
    if (planner.fencingToken().isPresent()) {
      return planner.ensureAdapter(runner, model, adapter);
    }
    Optional<Instance> plannerInstance = plannerInstance();
    if (plannerInstance.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    return peers
        .request(
            plannerInstance.get(),
            new PeerMessage.AdapterRequest(runner, model, adapter),
            ADAPTER_TIMEOUT_MILLISECONDS)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                LOGGER.info(
                    "adapter={}/{} runner={} planner={} failed=\"{}\"",
                    model,
                    adapter,
                    runner,
                    plannerInstance.get().id(),
                    failure.toString());
              }
              return answer instanceof PeerMessage.AdapterAnswer adapterAnswer
                  && adapterAnswer.present();
            });
  }

  /** Reports the demand since the previous call to the planner. */
  void reportDemand() {
    List<ModelDemand> demands = demand.take();
    if (planner.fencingToken().isPresent()) {
      planner.demandReported(self, demands);
      return;
    }
    if (!demands.isEmpty()) {
      plannerInstance()
          .ifPresent(
              instance -> peers.send(instance, new PeerMessage.ModelDemandReport(self, demands)));
    }
  }

  /**
   * Broadcasts that this instance is the planner, if it is; forgets a planner that has left or is
   * silent.
   */
  void announce() {
    planner.fencingToken().ifPresent(this::tookOver);
    boolean left =
        notice.isPresent()
            && plannerInstance().filter(member -> member.state() == InstanceState.LIVE).isEmpty();
    if (left) {
      LOGGER.info("planner={} left=true", notice.get().instance());
      notice = Optional.empty();
      refreshLease.run();
    }
    long silent = MonotonicClock.milliseconds() - noticeReceivedAt;
    if (notice.isPresent() && silent > PLANNER_TIMEOUT_MILLISECONDS) {
      LOGGER.info("planner={} silent_ms={}", notice.get().instance(), silent);
      notice = Optional.empty();
    }
  }

  void received(PeerMessage.PlannerNotice received) {
    boolean newer = notice.isEmpty() || received.fencingToken() >= notice.get().fencingToken();
    if (!newer) {
      return;
    }
    if (notice.isEmpty() || !notice.get().equals(received)) {
      LOGGER.info("planner={} token={}", received.instance(), received.fencingToken());
    }
    notice = Optional.of(received);
    noticeReceivedAt = MonotonicClock.milliseconds();
  }

  void received(PeerMessage.ModelNotice change) {
    apply(change);
  }

  void received(PeerMessage.ModelDemandReport report) {
    planner.demandReported(report.instance(), report.demands());
  }

  /** Handles an adapter request of another instance. */
  CompletableFuture<PeerMessage> answer(PeerMessage.AdapterRequest request) {
    return planner
        .ensureAdapter(request.runner(), request.model(), request.adapter())
        .thenApply(PeerMessage.AdapterAnswer::new);
  }

  @Override
  public void loaded(String runner, String model) {
    applyAndBroadcast(
        new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.LOADED, 0));
  }

  @Override
  public void dropping(String runner, String model) {
    applyAndBroadcast(
        new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.DROPPING, 0));
  }

  @Override
  public void loading(String runner, String model, long expectedMilliseconds) {
    applyAndBroadcast(
        new PeerMessage.ModelNotice(
            runner, model, PeerMessage.ModelChange.LOADING, expectedMilliseconds));
  }

  @Override
  public void tookOver(long fencingToken) {
    peers.broadcast(new PeerMessage.PlannerNotice(self, fencingToken));
  }

  private void applyAndBroadcast(PeerMessage.ModelNotice change) {
    peers.broadcast(change);
    apply(change);
  }

  private void apply(PeerMessage.ModelNotice change) {
    long now = MonotonicClock.milliseconds();
    switch (change.change()) {
      case LOADED -> {
        presence.announceModel(change.runner(), change.model());
        waiting.retryAll();
      }
      case DROPPING -> presence.withdraw(change.runner(), change.model(), now);
      case LOADING ->
          presence.expectModel(
              change.runner(), change.model(), now + change.expectedMilliseconds());
      default -> throw new IllegalStateException("unknown change " + change.change());
    }
  }

  private Optional<Instance> plannerInstance() {
    return notice.flatMap(current -> peers.member(current.instance()));
  }
}
