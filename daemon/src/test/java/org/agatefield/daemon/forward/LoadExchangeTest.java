package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.membership.DomainRelays;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Fleets of several sizes in which each instance has work at one runner. */
class LoadExchangeTest {
  private static final int DOMAINS = 3;
  private static final String RUNNER = "runner";
  private static final int TOKENS = 100;
  private static final long SETTLED_MILLISECONDS = 3_000;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Set<String> dead = new HashSet<>();
  private final Map<String, Integer> messages = new LinkedHashMap<>();
  private long now;

  private final class Member implements LoadExchange.Fleet {
    private final Instance self;
    private final RunnerLoads loads = new RunnerLoads();
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
        receiver.exchange.heard((PeerMessage.RunnerLoadReport) message, now);
      }
    }
  }

  private void startFleet(int instancesPerDomain) {
    for (int domain = 0; domain < DOMAINS; domain++) {
      for (int number = 0; number < instancesPerDomain; number++) {
        String id = "d" + domain + "-" + (char) ('a' + number / 26) + (char) ('a' + number % 26);
        Address address = new Address("127.0.0.1", 1 + members.size());
        Instance instance =
            new Instance(
                id,
                address,
                address,
                new FailureDomain("region", "d" + domain),
                InstanceState.LIVE);
        members.put(id, new Member(instance));
      }
    }
  }

  private void run(long milliseconds) {
    long end = now + milliseconds;
    while (now < end) {
      now += LoadExchange.PERIOD_MILLISECONDS;
      for (Member member : new ArrayList<>(members.values())) {
        member.exchange.tell(now);
      }
    }
  }

  private void sendOneRequestEach() {
    members.values().forEach(member -> member.loads.sent(RUNNER, TOKENS));
  }

  private int known(String id) {
    return members.get(id).loads.total(RUNNER, now).running();
  }

  @Test
  void eachInstanceOfLargeDomainsKnowsTheWorkOfTheWholeFleetOnce() {
    startFleet(8);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    for (String id : members.keySet()) {
      assertEquals(members.size(), known(id), id);
    }
  }

  @Test
  void eachInstanceOfSmallDomainsKnowsTheWorkOfTheWholeFleetOnce() {
    startFleet(3);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    for (String id : members.keySet()) {
      assertEquals(members.size(), known(id), id);
    }
  }

  @Test
  void anInstanceHandlesNoMoreMessagesInLargeDomainsThanInSmallOnes() {
    assertTrue(mostMessagesBehindRelay(32) <= mostMessagesBehindRelay(8));
  }

  private int mostMessagesBehindRelay(int instancesPerDomain) {
    members.clear();
    startFleet(instancesPerDomain);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    messages.clear();
    run(SETTLED_MILLISECONDS);
    return members.values().stream()
        .filter(member -> !member.relays().representsDomain())
        .mapToInt(member -> messages.get(member.self().id()))
        .max()
        .orElseThrow();
  }

  @Test
  void workThatEndedIsSoonCountedNowhere() {
    startFleet(8);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    members.values().forEach(member -> member.loads.ended(RUNNER));
    run(SETTLED_MILLISECONDS);
    members.keySet().forEach(id -> assertEquals(0, known(id), id));
  }

  @Test
  void neighboursTellEachOtherWhileTheRelayIsSilent() {
    startFleet(8);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    dead.add("d0-aa");
    run(SETTLED_MILLISECONDS);
    assertEquals(7, known("d0-ab"));
  }

  @Test
  void relayThatAnswersAgainSpeaksForItsNeighboursAgain() {
    startFleet(8);
    sendOneRequestEach();
    run(SETTLED_MILLISECONDS);
    dead.add("d0-aa");
    run(SETTLED_MILLISECONDS);
    dead.clear();
    run(SETTLED_MILLISECONDS);
    assertEquals(members.size(), known("d0-ab"));
  }
}
