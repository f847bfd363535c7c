package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.cost.LearnedRates;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.membership.DomainRelays;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Simulates fleets of several sizes in which each instance has sent requests to one runner. */
class LoadExchangeTest {
  private static final int DOMAINS = 3;
  private static final String RUNNER = "runner";
  private static final int TOKENS = 100;
  private static final long CONVERGENCE_MILLISECONDS = 3_000;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Set<String> dead = new HashSet<>();
  private final Map<String, Integer> messages = new LinkedHashMap<>();
  private long now;

  private final class Member implements LoadExchange.Fleet {
    private final Instance self;
    private final RunnerLoads loads = new RunnerLoads(LearnedRates.unshared());
    private final LoadExchange exchange;

    Member(Instance self) {
      this.self = self;
      this.exchange = new LoadExchange(this, loads, self.failureDomain());
    }

    @Override
    public Instance self() {
      return self;
    }

    @Override
    public DomainRelays relays() {
      List<Instance> all = members.values().stream().map(Member::self).toList();
      return new DomainRelays(self, all, all);
    }

    @Override
    public void send(Instance instance, PeerMessage message) {
      messages.merge(self.id(), 1, Integer::sum);
      messages.merge(instance.id(), 1, Integer::sum);
      if (!dead.contains(instance.id()) && !dead.contains(self.id())) {
        Member receiver = members.get(instance.id());
        receiver.exchange.reportReceived((PeerMessage.RunnerLoadReport) message, now);
      }
    }
  }

  private void startFleet(int instancesPerDomain) {
    TestInstances.of(DOMAINS, instancesPerDomain)
        .forEach(each -> members.put(each.id(), new Member(each)));
  }

  private void run(long milliseconds) {
    long end = now + milliseconds;
    while (now < end) {
      now += LoadExchange.PERIOD_MILLISECONDS;
      for (Member member : new ArrayList<>(members.values())) {
        member.exchange.sendReports(now);
      }
    }
  }

  private void sendOneRequestEach() {
    members.values().forEach(member -> member.loads.sent(RUNNER, TOKENS));
  }

  private int visibleRequests(String id) {
    return members.get(id).loads.total(RUNNER, now).running();
  }

  @Test
  void instancesOfLargeDomainsCountEachRequestOfTheFleetOnce() {
    startFleet(8);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    for (String id : members.keySet()) {
      assertEquals(members.size(), visibleRequests(id), id);
    }
  }

  @Test
  void instancesOfSmallDomainsCountEachRequestOfTheFleetOnce() {
    startFleet(3);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    for (String id : members.keySet()) {
      assertEquals(members.size(), visibleRequests(id), id);
    }
  }

  @Test
  void messagesPerInstanceDoNotGrowWithTheDomainSize() {
    assertTrue(maximumMessagesBehindRelay(32) <= maximumMessagesBehindRelay(8));
  }

  private int maximumMessagesBehindRelay(int instancesPerDomain) {
    members.clear();
    startFleet(instancesPerDomain);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    messages.clear();
    run(CONVERGENCE_MILLISECONDS);
    return members.values().stream()
        .filter(member -> !member.relays().representsDomain())
        .mapToInt(member -> messages.get(member.self().id()))
        .max()
        .orElseThrow();
  }

  @Test
  void finishedRequestsAreNoLongerCountedAnywhere() {
    startFleet(8);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    members.values().forEach(member -> member.loads.ended(RUNNER));
    run(CONVERGENCE_MILLISECONDS);
    members.keySet().forEach(id -> assertEquals(0, visibleRequests(id), id));
  }

  @Test
  void neighboursReportToEachOtherWhileTheRelayIsSilent() {
    startFleet(8);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    dead.add("d0-aa");
    run(CONVERGENCE_MILLISECONDS);
    assertEquals(7, visibleRequests("d0-ab"));
  }

  @Test
  void recoveredRelayReportsForItsNeighboursAgain() {
    startFleet(8);
    sendOneRequestEach();
    run(CONVERGENCE_MILLISECONDS);
    dead.add("d0-aa");
    run(CONVERGENCE_MILLISECONDS);
    dead.clear();
    run(CONVERGENCE_MILLISECONDS);
    assertEquals(members.size(), visibleRequests("d0-ab"));
  }
}
