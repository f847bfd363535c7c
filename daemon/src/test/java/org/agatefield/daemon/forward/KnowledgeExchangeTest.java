package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.RunnerState;
import org.agatefield.membership.DomainRelays;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Simulates fleets of several sizes in which one instance reads the report of a runner. */
class KnowledgeExchangeTest {
  private static final int DOMAINS = 3;
  private static final String RUNNER = "runner";
  private static final RunnerState STATE = new RunnerState(5, 4, 3, 2, 100);
  private static final long CONVERGENCE_MILLISECONDS = 3_000;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Set<String> dead = new HashSet<>();
  private int facts;
  private long now;

  private final class Member implements LoadExchange.Fleet {
    private final Instance self;
    private final KnowledgeExchange exchange;
    private final KnowledgeTable<RunnerState> states;

    Member(Instance self) {
      this.self = self;
      this.exchange = new KnowledgeExchange(this, self.failureDomain(), () -> now);
      this.states = exchange.share(RunnerState.KIND);
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
      PeerMessage.KnowledgeReport report = (PeerMessage.KnowledgeReport) message;
      report.kinds().forEach(kind -> facts += kind.facts().size());
      if (!dead.contains(instance.id()) && !dead.contains(self.id())) {
        members.get(instance.id()).exchange.reportReceived(report);
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
      now += KnowledgeExchange.PERIOD_MILLISECONDS;
      new ArrayList<>(members.values()).forEach(member -> member.exchange.sendReports(now));
    }
  }

  private void observeAt(String id) {
    members.get(id).states.observe(RUNNER, STATE, now);
  }

  private boolean isKnownAt(String id) {
    return members
        .get(id)
        .states
        .known(RUNNER, now)
        .filter(each -> each.value().equals(STATE))
        .isPresent();
  }

  @Test
  void everyInstanceOfSmallAndLargeDomainsLearnsWhatOneHasSeen() {
    for (int size : List.of(3, 8)) {
      members.clear();
      startFleet(size);
      observeAt("d1-ab");
      run(CONVERGENCE_MILLISECONDS);
      members.keySet().forEach(id -> assertTrue(isKnownAt(id), size + " " + id));
    }
  }

  @Test
  void knowledgeKeepsTheAgeOfItsObservationOnEveryWay() {
    startFleet(8);
    observeAt("d1-ab");
    run(CONVERGENCE_MILLISECONDS);
    for (Member member : members.values()) {
      assertEquals(0, member.states.known(RUNNER, now).orElseThrow().atMilliseconds());
    }
  }

  @Test
  void knowledgeThatIsNotRenewedIsForgottenEverywhere() {
    startFleet(8);
    observeAt("d1-ab");
    run(RunnerState.KIND.maximumAgeMilliseconds() + CONVERGENCE_MILLISECONDS);
    members.values().forEach(member -> assertTrue(member.states.all(now).isEmpty()));
  }

  @Test
  void neighboursTellEachOtherWhileTheRelayIsSilent() {
    startFleet(8);
    run(CONVERGENCE_MILLISECONDS);
    dead.add("d0-aa");
    run(CONVERGENCE_MILLISECONDS);
    observeAt("d0-ab");
    run(CONVERGENCE_MILLISECONDS);
    assertTrue(isKnownAt("d0-ac"));
  }

  @Test
  void unchangedKnowledgeIsSentOnlyToRefreshIt() {
    startFleet(8);
    observeAt("d1-ab");
    run(KnowledgeExchange.PERIOD_MILLISECONDS * 2);
    facts = 0;
    run(KnowledgeExchange.PERIOD_MILLISECONDS * 3); // As long as a third of the maximum age.
    // Once for a receiver's own refresh, and once because its source was refreshed.
    assertTrue(facts <= 2 * members.size(), "facts " + facts);
  }

  @Test
  void kindsOfLaterBuildsArePassedOver() {
    startFleet(3);
    members
        .get("d0-aa")
        .exchange
        .reportReceived(
            new PeerMessage.KnowledgeReport(
                "d0-ab",
                false,
                List.of(
                    new PeerMessage.KnownKind(
                        "of-a-later-build",
                        List.of(new PeerMessage.KnownFact(RUNNER, 0, List.of(1L)))))));
    assertTrue(members.get("d0-aa").states.all(now).isEmpty());
  }
}
