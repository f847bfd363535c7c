package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.membership.DomainRelays;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;

/**
 * Tells other instances what runs at runners, and takes in what they tell.
 *
 * <p>Neighbours tell each other their own part. A large failure domain is summed up by its relay
 * for the others, under the domain's name, so that two relays in turn replace each other's sum.
 * Confined to one event loop.
 */
final class LoadExchange {
  /** How often {@link #tell} is to be called. */
  static final long PERIOD_MILLISECONDS = 120; // a backlog changes by a tenth of an objective

  private static final int PERIODS_PER_LARGE_DOMAIN_REPORT = 2; // many neighbours, smaller parts
  private static final int PERIODS_PER_DISTANT_REPORT = 2; // bytes between domains are paid for
  private static final int PERIODS_PER_DOMAIN_SUM = 4;

  private final ForwardingPeers peers;
  private final RunnerLoads loads;
  private final FailureDomain here;
  private int periods;

  LoadExchange(ForwardingPeers peers, RunnerLoads loads, FailureDomain here) {
    this.peers = peers;
    this.loads = loads;
    this.here = here;
  }

  /** Tells those whose turn it is. */
  void tell() {
    periods++;
    String self = peers.self().id();
    Map<String, RunnerLoads.Share> own = loads.ownShares();
    DomainRelays relays = peers.relays();
    if (relays.isDomainLarge()) {
      if (!own.isEmpty() && periods % PERIODS_PER_LARGE_DOMAIN_REPORT == 0) {
        peers.tellNeighbours(report(self, own));
      }
      if (relays.speaks() && periods % PERIODS_PER_DOMAIN_SUM == 0) {
        peers.tellOtherDomains(report("domain/" + here.name(), domainSum(relays)));
      }
    } else if (!own.isEmpty()) {
      peers.tellNeighbours(report(self, own));
      if (periods % PERIODS_PER_DISTANT_REPORT == 0) {
        peers.tellOtherDomains(report(self, own));
      }
    }
  }

  /** Takes in what an instance or a failure domain has at runners. */
  void heard(PeerMessage.RunnerLoadReport report) {
    Map<String, RunnerLoads.Share> shares = new HashMap<>();
    for (PeerMessage.RunnerShare share : report.loads()) {
      shares.put(
          share.runner(), new RunnerLoads.Share(share.running(), share.unreadPromptTokens()));
    }
    loads.heard(report.instance(), shares, MonotonicClock.milliseconds());
  }

  private Map<String, RunnerLoads.Share> domainSum(DomainRelays relays) {
    List<String> neighbours = relays.neighbours().stream().map(Instance::id).toList();
    return loads.sharesWith(neighbours, MonotonicClock.milliseconds());
  }

  private static PeerMessage report(String reporter, Map<String, RunnerLoads.Share> reported) {
    List<PeerMessage.RunnerShare> shares = new ArrayList<>();
    reported.forEach(
        (runner, share) ->
            shares.add(new PeerMessage.RunnerShare(runner, share.running(), share.unreadTokens())));
    return new PeerMessage.RunnerLoadReport(reporter, shares);
  }
}
