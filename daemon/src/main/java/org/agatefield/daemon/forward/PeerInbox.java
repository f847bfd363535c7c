package org.agatefield.daemon.forward;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;

/** Hands what peers send to the part that it is for. Confined to one event loop. */
final class PeerInbox implements ForwardingPeers.Listener {
  private final SnapshotExchange knowledge;
  private final Map<String, ObjectRelay> knowledgeRelays;
  private final LoadExchange loads;
  private final PlannerClient planner;
  private final RunnerAvailability notices;
  private final RegionalQuotaPolicy quotas;

  /**
   * Creates an inbox.
   *
   * @param knowledgeRelays by the plural of the kind that each tells of
   */
  PeerInbox(
      SnapshotExchange knowledge,
      Map<String, ObjectRelay> knowledgeRelays,
      LoadExchange loads,
      PlannerClient planner,
      RunnerAvailability notices,
      RegionalQuotaPolicy quotas) {
    this.knowledge = knowledge;
    this.knowledgeRelays = knowledgeRelays;
    this.loads = loads;
    this.planner = planner;
    this.notices = notices;
    this.quotas = quotas;
  }

  @Override
  public void configurationAnnounced(Instance holder, long version) {
    knowledge.heard(holder, version);
  }

  @Override
  public void received(PeerMessage message) {
    if (message instanceof PeerMessage.RunnerLoadReport report) {
      loads.heard(report, MonotonicClock.milliseconds());
    } else if (message instanceof PeerMessage.ModelDemandReport report) {
      planner.heard(report);
    } else if (message instanceof PeerMessage.PlannerNotice notice) {
      planner.heard(notice);
    } else if (message instanceof PeerMessage.ModelNotice notice) {
      planner.heard(notice);
    } else if (message instanceof PeerMessage.RunnerNotice notice) {
      notices.heard(notice, MonotonicClock.milliseconds());
    } else if (message instanceof PeerMessage.QuotaReturn returned) {
      quotas.heard(returned);
    }
  }

  @Override
  public CompletableFuture<PeerMessage> requested(PeerMessage request) {
    if (request instanceof PeerMessage.SnapshotRequest asked) {
      return CompletableFuture.completedFuture(knowledge.answer(asked));
    }
    if (request instanceof PeerMessage.ObjectsRequest asked
        && knowledgeRelays.containsKey(asked.kind())) {
      return knowledgeRelays.get(asked.kind()).answer(asked);
    }
    if (request instanceof PeerMessage.QuotaRequest asked) {
      return quotas.answer(asked);
    }
    if (request instanceof PeerMessage.AdapterRequest asked) {
      return planner.answer(asked);
    }
    return CompletableFuture.failedFuture(
        new AgatefieldException(ErrorKind.INTERNAL, "the request has no answer"));
  }
}
