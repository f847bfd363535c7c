package org.agatefield.daemon.forward;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;

/** Dispatches messages and requests of peers to their handlers. Confined to one event loop. */
final class PeerInbox implements ForwardingPeers.Listener {
  private final SnapshotExchange snapshots;
  private final Map<String, ObjectRelay> relays;
  private final LoadExchange loads;
  private final PlannerClient planner;
  private final RunnerAvailability availability;
  private final RegionalQuotaPolicy quotas;
  private final RunnerLimits limits;
  private final RunnerPermits permits;
  private final RequestQuarantine quarantine;
  private final KnowledgeExchange knowledge;

  /**
   * Creates an inbox.
   *
   * @param relays by the plural name of the object kind
   */
  PeerInbox(
      SnapshotExchange snapshots,
      Map<String, ObjectRelay> relays,
      LoadExchange loads,
      PlannerClient planner,
      RunnerAvailability availability,
      RegionalQuotaPolicy quotas,
      RunnerLimits limits,
      RunnerPermits permits,
      RequestQuarantine quarantine,
      KnowledgeExchange knowledge) {
    this.snapshots = snapshots;
    this.relays = relays;
    this.loads = loads;
    this.planner = planner;
    this.availability = availability;
    this.quotas = quotas;
    this.limits = limits;
    this.permits = permits;
    this.quarantine = quarantine;
    this.knowledge = knowledge;
  }

  @Override
  public void configurationAnnounced(Instance holder, long version) {
    snapshots.versionAnnounced(holder, version);
  }

  @Override
  public void received(PeerMessage message) {
    if (message instanceof PeerMessage.RunnerLoadReport report) {
      loads.reportReceived(report, MonotonicClock.milliseconds());
    } else if (message instanceof PeerMessage.ModelDemandReport report) {
      planner.received(report);
    } else if (message instanceof PeerMessage.PlannerNotice notice) {
      planner.received(notice);
    } else if (message instanceof PeerMessage.ModelNotice notice) {
      planner.received(notice);
    } else if (message instanceof PeerMessage.RunnerNotice notice) {
      availability.noticeReceived(notice, MonotonicClock.milliseconds());
    } else if (message instanceof PeerMessage.RunnerLimitNotice notice) {
      limits.noticeReceived(notice);
    } else if (message instanceof PeerMessage.CrashEvidence evidence) {
      quarantine.evidenceReceived(evidence);
    } else if (message instanceof PeerMessage.QuotaReturn returned) {
      quotas.tokensReturned(returned);
    } else if (message instanceof PeerMessage.KnowledgeReport report) {
      knowledge.reportReceived(report);
    }
  }

  @Override
  public CompletableFuture<PeerMessage> requested(PeerMessage request) {
    if (request instanceof PeerMessage.SnapshotRequest query) {
      return CompletableFuture.completedFuture(snapshots.answer(query));
    }
    if (request instanceof PeerMessage.ObjectsRequest query && relays.containsKey(query.kind())) {
      return relays.get(query.kind()).answer(query);
    }
    if (request instanceof PeerMessage.QuotaRequest query) {
      return quotas.answer(query);
    }
    if (request instanceof PeerMessage.PermitRequest query) {
      return CompletableFuture.completedFuture(permits.answer(query));
    }
    if (request instanceof PeerMessage.AdapterRequest query) {
      return planner.answer(query);
    }
    return CompletableFuture.failedFuture(
        new AgatefieldException(ErrorKind.INTERNAL, "unsupported request type"));
  }
}
