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
 * <p>Answers the load of messages that grows with the square of a failure domain. In a small domain
 * neighbours tell each other directly. In a large one each instance tells the domain's relay only,
 * and the relay tells each neighbour the work of all others, of other domains too, so that an
 * instance sends and receives the same number of messages in a fleet of any size. Sums go under the
 * domain's name, so that two relays in turn replace each other's. While the relay is silent,
 * neighbours tell each other directly. Confined to one event loop.
 */
final class LoadExchange {
  /** How often {@link #tell} is to be called. */
  static final long PERIOD_MILLISECONDS = 120; // a backlog changes by a tenth of an objective

  private static final int PERIODS_PER_LARGE_DOMAIN_REPORT = 2; // many neighbours, smaller parts
  private static final int PERIODS_PER_DISTANT_REPORT = 2; // bytes between domains are paid for
  private static final int PERIODS_PER_DOMAIN_SUM = 4;
  private static final long RELAY_SILENCE_MILLISECONDS = 720; // three reports of a relay

  private final Fleet fleet;
  private final RunnerLoads loads;
  private final FailureDomain here;
  private int periods;
  private long unansweredSince = Long.MAX_VALUE;

  /** The other instances, as far as loads are told to them. */
  interface Fleet {
    /** Returns this instance. */
    Instance self();

    /** Returns who speaks for which failure domain. */
    DomainRelays relays();

    /** Sends a message that may be lost. */
    void send(Instance instance, PeerMessage message);
  }

  LoadExchange(Fleet fleet, RunnerLoads loads, FailureDomain here) {
    this.fleet = fleet;
    this.loads = loads;
    this.here = here;
  }

  /** Tells those whose turn it is. */
  void tell(long nowMilliseconds) {
    periods++;
    DomainRelays relays = fleet.relays();
    if (!relays.domainHasRelay()) {
      tellDirectly(relays);
    } else if (relays.representsDomain()) {
      tellForDomain(relays, nowMilliseconds);
    } else if (periods % PERIODS_PER_LARGE_DOMAIN_REPORT == 0) {
      tellRelay(relays, nowMilliseconds);
    }
  }

  private void tellDirectly(DomainRelays relays) {
    Map<String, RunnerLoads.Load> own = loads.ownLoads();
    if (own.isEmpty()) {
      return;
    }
    PeerMessage report = report(fleet.self().id(), own);
    relays.neighbours().forEach(neighbour -> fleet.send(neighbour, report));
    if (periods % PERIODS_PER_DISTANT_REPORT == 0) {
      tellOtherDomains(relays, report);
    }
  }

  private void tellRelay(DomainRelays relays, long now) {
    Map<String, RunnerLoads.Load> own = loads.ownLoads();
    if (own.isEmpty()) {
      unansweredSince = Long.MAX_VALUE;
      return;
    }
    unansweredSince = Math.min(unansweredSince, now);
    PeerMessage report = report(fleet.self().id(), own);
    if (now - unansweredSince > RELAY_SILENCE_MILLISECONDS) {
      relays.neighbours().forEach(neighbour -> fleet.send(neighbour, report));
    } else {
      fleet.send(relays.sources().get(0), report);
    }
  }

  private void tellForDomain(DomainRelays relays, long now) {
    unansweredSince = Long.MAX_VALUE;
    List<Instance> neighbours = relays.neighbours();
    if (periods % PERIODS_PER_DOMAIN_SUM == 0) {
      List<String> ids = neighbours.stream().map(Instance::id).toList();
      tellOtherDomains(relays, report(domainName(), loads.loadsWith(ids, now)));
    }
    if (periods % PERIODS_PER_LARGE_DOMAIN_REPORT != 0 || loads.allLoads(now).isEmpty()) {
      return;
    }
    for (Instance neighbour : neighbours) {
      fleet.send(neighbour, report(domainName(), loads.loadsExcept(neighbour.id(), now)));
    }
  }

  private void tellOtherDomains(DomainRelays relays, PeerMessage report) {
    relays.directPeers().forEach(instance -> fleet.send(instance, report));
    relays.relays().forEach(instance -> fleet.send(instance, report));
  }

  /** Takes in what an instance or a failure domain has at runners. */
  void heard(PeerMessage.RunnerLoadReport report, long nowMilliseconds) {
    Map<String, RunnerLoads.Load> shares = new HashMap<>();
    for (PeerMessage.RunnerShare share : report.loads()) {
      shares.put(share.runner(), new RunnerLoads.Load(share.running(), share.unreadPromptTokens()));
    }
    if (report.instance().equals(domainName())) {
      unansweredSince = Long.MAX_VALUE;
      loads.replaceNeighbours(report.instance(), shares, nowMilliseconds);
    } else {
      loads.updateNeighbour(report.instance(), shares, nowMilliseconds);
    }
  }

  private String domainName() {
    return "domain/" + here.name();
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
