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
 * Exchanges the load at runners with other instances.
 *
 * <p>Direct messages between all instances grow with the square of the size of a failure domain. In
 * a small domain neighbours therefore report to each other directly; in a large one each instance
 * reports only to the domain's relay, and the relay reports to each neighbour the load of all other
 * instances, including those of other domains. An instance thus sends and receives the same number
 * of messages in a fleet of any size. Sums are reported under the domain's name, so that a new
 * relay's sum replaces that of its predecessor. While the relay is silent, neighbours report to
 * each other directly. Confined to one event loop.
 */
final class LoadExchange {
  /**
   * Interval at which {@link #sendReports} must be called. The backlog changes by a tenth of an
   * objective in this time.
   */
  static final long PERIOD_MILLISECONDS = 120;

  // With many neighbours each has a smaller share.
  private static final int PERIODS_PER_LARGE_DOMAIN_REPORT = 2;
  private static final int PERIODS_PER_DISTANT_REPORT = 2; // Traffic between domains is charged.
  private static final int PERIODS_PER_DOMAIN_SUM = 4;
  private static final long RELAY_TIMEOUT_MILLISECONDS = 720; // Three report intervals of a relay.

  private final Fleet fleet;
  private final RunnerLoads loads;
  private final FailureDomain localDomain;
  private int periods;
  private long relaySilentSince = Long.MAX_VALUE;

  /** Provides the relays and the messaging that load reports need. */
  interface Fleet {
    Instance self();

    /** Returns the relays of the failure domains. */
    DomainRelays relays();

    /** Sends a message without delivery guarantee. */
    void send(Instance instance, PeerMessage message);
  }

  LoadExchange(Fleet fleet, RunnerLoads loads, FailureDomain localDomain) {
    this.fleet = fleet;
    this.loads = loads;
    this.localDomain = localDomain;
  }

  /** Sends the reports that are due in this period. */
  void sendReports(long nowMilliseconds) {
    periods++;
    DomainRelays relays = fleet.relays();
    if (!relays.domainHasRelay()) {
      reportDirectly(relays);
    } else if (relays.representsDomain()) {
      reportForDomain(relays, nowMilliseconds);
    } else if (periods % PERIODS_PER_LARGE_DOMAIN_REPORT == 0) {
      reportToRelay(relays, nowMilliseconds);
    }
  }

  private void reportDirectly(DomainRelays relays) {
    Map<String, RunnerLoads.Load> localLoads = loads.ownLoads();
    if (localLoads.isEmpty()) {
      return;
    }
    PeerMessage report = report(fleet.self().id(), localLoads);
    relays.neighbours().forEach(neighbour -> fleet.send(neighbour, report));
    if (periods % PERIODS_PER_DISTANT_REPORT == 0) {
      reportToOtherDomains(relays, report);
    }
  }

  private void reportToRelay(DomainRelays relays, long now) {
    Map<String, RunnerLoads.Load> localLoads = loads.ownLoads();
    if (localLoads.isEmpty()) {
      relaySilentSince = Long.MAX_VALUE;
      return;
    }
    relaySilentSince = Math.min(relaySilentSince, now);
    PeerMessage report = report(fleet.self().id(), localLoads);
    if (now - relaySilentSince > RELAY_TIMEOUT_MILLISECONDS) {
      relays.neighbours().forEach(neighbour -> fleet.send(neighbour, report));
    } else {
      fleet.send(relays.sources().get(0), report);
    }
  }

  private void reportForDomain(DomainRelays relays, long now) {
    relaySilentSince = Long.MAX_VALUE;
    List<Instance> neighbours = relays.neighbours();
    if (periods % PERIODS_PER_DOMAIN_SUM == 0) {
      List<String> ids = neighbours.stream().map(Instance::id).toList();
      reportToOtherDomains(relays, report(domainName(), loads.loadsWith(ids, now)));
    }
    if (periods % PERIODS_PER_LARGE_DOMAIN_REPORT != 0 || loads.allLoads(now).isEmpty()) {
      return;
    }
    for (Instance neighbour : neighbours) {
      fleet.send(neighbour, report(domainName(), loads.loadsExcept(neighbour.id(), now)));
    }
  }

  private void reportToOtherDomains(DomainRelays relays, PeerMessage report) {
    relays.directPeers().forEach(instance -> fleet.send(instance, report));
    relays.relays().forEach(instance -> fleet.send(instance, report));
  }

  /** Applies the load reported by an instance or for a failure domain. */
  void reportReceived(PeerMessage.RunnerLoadReport report, long nowMilliseconds) {
    Map<String, RunnerLoads.Load> shares = new HashMap<>();
    for (PeerMessage.RunnerShare share : report.loads()) {
      shares.put(share.runner(), new RunnerLoads.Load(share.running(), share.unreadPromptTokens()));
    }
    if (report.instance().equals(domainName())) {
      relaySilentSince = Long.MAX_VALUE;
      loads.replaceNeighbours(report.instance(), shares, nowMilliseconds);
    } else {
      loads.updateNeighbour(report.instance(), shares, nowMilliseconds);
    }
  }

  private String domainName() {
    return "domain/" + localDomain.name();
  }

  private static PeerMessage report(String reporter, Map<String, RunnerLoads.Load> reported) {
    List<PeerMessage.RunnerShare> shares = new ArrayList<>();
    reported.forEach(
        (runner, share) ->
            shares.add(
                new PeerMessage.RunnerShare(
                    runner, share.running(), share.pendingPrefillTokens())));
    return new PeerMessage.RunnerLoadReport(reporter, shares);
  }
}
