package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Priority;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;
import org.agatefield.model.WeightStoreLimits;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class PlacementPolicyTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int RUNNERS = 4;
  private static final int MODELS = 6;
  private static final double STEADY_BUSY = 0.3;

  private final List<RunnerView> runners = new ArrayList<>();
  private final GainPlacement policy = new GainPlacement(GainSettings.standard());

  PlacementPolicyTest() {
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(runner("r" + i, "domain-" + i % 2, 40));
    }
  }

  @Test
  void replicasOfOneVersionArePlacedInDifferentFailureDomains() {
    settle(configuration(2), List.of(), 10);
    for (int model = 0; model < MODELS; model++) {
      Set<String> domains = new HashSet<>();
      for (RunnerView view : runners) {
        if (view.ledger().entry(version(model)).isPresent()) {
          domains.add(view.upstream().failureDomain().name());
        }
      }
      assertEquals(Set.of("domain-0", "domain-1"), domains);
    }
  }

  @Test
  void loadsStayWithinTheConcurrentLoadsOfTheWeightStore() {
    ConfigurationDocument document = configuration(2);
    int loads = policy.plan(input(document, List.of(), 100, 0)).size();
    assertEquals(document.weightStore().concurrentLoads(), loads);
  }

  @Property(tries = 200, seed = "42")
  void noiseAroundSteadyDemandCausesNoMovesOncePlacementIsStable(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    PlacementPolicyTest bench = new PlacementPolicyTest();
    ConfigurationDocument document = configuration(1);
    bench.settle(document, steadyDemand(), 200);
    List<PlannedMove> moves = new ArrayList<>();
    for (int round = 200; round < 400; round++) {
      List<DemandSample> noisy =
          steadyDemand().stream().map(each -> scaled(each, 0.5 + random.nextDouble())).toList();
      moves.addAll(bench.policy.plan(bench.input(document, noisy, 1, round * SECOND)));
    }
    assertEquals(List.of(), moves);
  }

  @Test
  void tenfoldDemandGetsMoreReplicas() {
    ConfigurationDocument document = configuration(1);
    settle(document, steadyDemand(), 100);
    long before = replicas(0);
    List<DemandSample> risen = new ArrayList<>(steadyDemand());
    risen.set(0, scaled(risen.get(0), 10));
    for (int round = 100; round < 200; round++) {
      step(document, risen, round);
    }
    assertTrue(replicas(0) > before, before + " replicas before, " + replicas(0) + " after");
  }

  private long replicas(int model) {
    return runners.stream().filter(each -> each.ledger().entry(version(model)).isPresent()).count();
  }

  private void settle(ConfigurationDocument document, List<DemandSample> demand, int rounds) {
    for (int round = 0; round < rounds; round++) {
      step(document, demand, round);
    }
  }

  /** Plans once and executes every move immediately. */
  private void step(ConfigurationDocument document, List<DemandSample> demand, int round) {
    for (PlannedMove move : policy.plan(input(document, demand, 2, round * SECOND))) {
      for (int i = 0; i < RUNNERS; i++) {
        if (runners.get(i).upstream().name().equals(move.upstream())) {
          runners.set(i, afterMove(runners.get(i), move, document));
        }
      }
    }
  }

  private static RunnerView afterMove(
      RunnerView view, PlannedMove move, ConfigurationDocument document) {
    MovedLedger after =
        new MovedLedger(move.applyTo(view.ledger(), ReplicaSize.of(document, move.version())));
    return new RunnerView(view.upstream(), after.settled(move), view.report(), view.available());
  }

  /** A ledger whose last move is executed immediately. */
  private record MovedLedger(RunnerLedger ledger) {
    RunnerLedger settled(PlannedMove move) {
      if (move.kind() == MoveKind.LOAD) {
        return LedgerTransitions.loaded(ledger, move.version());
      }
      if (move.kind() != MoveKind.DRAIN) {
        return ledger;
      }
      RunnerLedger released =
          LedgerTransitions.release(
              LedgerTransitions.unload(ledger, move.version()), move.version());
      return LedgerTransitions.forget(released, move.version());
    }
  }

  private PlacementInput input(
      ConfigurationDocument document, List<DemandSample> demand, int allowance, long now) {
    return new PlacementInput(document, runners, demand, new LedgerAges(), allowance, now);
  }

  private static List<DemandSample> steadyDemand() {
    List<DemandSample> demand = new ArrayList<>();
    for (int model = 0; model < MODELS; model++) {
      demand.add(new DemandSample("m" + model, "region", 2, 0, STEADY_BUSY));
    }
    return demand;
  }

  private static DemandSample scaled(DemandSample sample, double factor) {
    return new DemandSample(
        sample.deployment(),
        sample.region(),
        sample.requestsPerSecond() * factor,
        0,
        sample.busySecondsPerSecond() * factor);
  }

  private static VersionId version(int model) {
    return new VersionId("m" + model, "v1");
  }

  private static ConfigurationDocument configuration(int minimumReplicas) {
    List<Deployment> deployments = new ArrayList<>();
    for (int model = 0; model < MODELS; model++) {
      deployments.add(
          new Deployment(
              "m" + model,
              List.of(new DeploymentVersion("v1", 10, 1)),
              Priority.STANDARD,
              minimumReplicas));
    }
    return new ConfigurationDocument(
        1,
        deployments,
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        new WeightStoreLimits(2, 3, 50));
  }

  private static RunnerView runner(String name, String domain, long megabytes) {
    Upstream upstream =
        new Upstream(
            name,
            UpstreamKind.MODEL_RUNNER,
            new Address("127.0.0.1", 1),
            new FailureDomain("region", domain),
            1,
            megabytes,
            true,
            Optional.empty());
    return new RunnerView(upstream, RunnerLedger.empty(name, megabytes), Optional.empty(), true);
  }
}
