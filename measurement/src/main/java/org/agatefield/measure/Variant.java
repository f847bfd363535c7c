package org.agatefield.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatefield.admission.ArrivalOrder;
import org.agatefield.admission.BoundedQueueShedding;
import org.agatefield.admission.NoShedding;
import org.agatefield.admission.UnlimitedRetries;
import org.agatefield.daemon.dispatch.DispatchPolicies;
import org.agatefield.placement.GainPlacement;
import org.agatefield.placement.GainSettings;
import org.agatefield.placement.LoadOnDemandPlacement;
import org.agatefield.placement.PlacementPolicy;
import org.agatefield.placement.StaticPlacement;
import org.agatefield.routing.LeastOutstandingChooser;
import org.agatefield.routing.RandomChooser;
import org.agatefield.routing.RoundRobinChooser;
import org.agatefield.routing.TwoChoicesChooser;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A combination of policies to measure. Immutable.
 *
 * @param decision the decision whose policy is varied
 * @param name the policy for that decision
 * @param policies creates the policies of one entry instance
 * @param placement creates the placement policy
 * @param retries handling of callers' retries
 * @param isOracle whether future demand and current load are known without lag
 */
record Variant(
    String decision,
    String name,
    Function<UniformRandomProvider, DispatchPolicies> policies,
    Supplier<PlacementPolicy> placement,
    RetryHandling retries,
    boolean isOracle) {
  private static final int BOUNDED_QUEUE = 32;
  private static final GainSettings UNSMOOTHED = new GainSettings(1, 0.005, 3);

  static Variant production() {
    return new Variant(
        "all", "ours", DispatchPolicies::standard, Variant::gain, RetryHandling.JOINED, false);
  }

  static Variant oracle() {
    return new Variant(
        "all",
        "oracle",
        DispatchPolicies::standard,
        () -> new GainPlacement(UNSMOOTHED),
        RetryHandling.JOINED,
        true);
  }

  /** Returns the baselines of every decision; their other policies are those of production. */
  static List<Variant> baselines() {
    List<Variant> variants = new ArrayList<>();
    variants.add(
        routing(
            "random",
            random ->
                DispatchPolicies.standard(random).withChooser(any -> new RandomChooser(random))));
    variants.add(
        routing(
            "round-robin",
            random ->
                DispatchPolicies.standard(random).withChooser(any -> new RoundRobinChooser())));
    variants.add(
        routing(
            "least-outstanding",
            random ->
                DispatchPolicies.standard(random)
                    .withChooser(any -> new LeastOutstandingChooser())));
    variants.add(
        routing(
            "two-choices",
            random ->
                DispatchPolicies.standard(random)
                    .withChooser(any -> new TwoChoicesChooser(random))));
    variants.add(shedding("none", Variant::withoutShedding));
    variants.add(
        shedding(
            "bounded-queue",
            random ->
                DispatchPolicies.standard(random)
                    .withShedding(new BoundedQueueShedding(BOUNDED_QUEUE), new ArrivalOrder())));
    variants.add(retries("naive", DispatchPolicies::standard, RetryHandling.NAIVE));
    variants.add(retries("naive-no-shedding", Variant::withoutShedding, RetryHandling.NAIVE));
    variants.add(retries("budgeted", DispatchPolicies::standard, RetryHandling.BUDGETED));
    variants.add(placement("static", StaticPlacement::new));
    variants.add(placement("load-on-demand", LoadOnDemandPlacement::new));
    return variants;
  }

  private static PlacementPolicy gain() {
    return new GainPlacement(GainSettings.standard());
  }

  private static DispatchPolicies withoutShedding(UniformRandomProvider random) {
    return DispatchPolicies.standard(random)
        .withShedding(new NoShedding(), new ArrivalOrder())
        .withRetries(new UnlimitedRetries());
  }

  private static Variant routing(
      String name, Function<UniformRandomProvider, DispatchPolicies> policies) {
    return new Variant("routing", name, policies, Variant::gain, RetryHandling.JOINED, false);
  }

  private static Variant shedding(
      String name, Function<UniformRandomProvider, DispatchPolicies> policies) {
    return new Variant("shedding", name, policies, Variant::gain, RetryHandling.JOINED, false);
  }

  private static Variant retries(
      String name,
      Function<UniformRandomProvider, DispatchPolicies> policies,
      RetryHandling handling) {
    return new Variant("retries", name, policies, Variant::gain, handling, false);
  }

  private static Variant placement(String name, Supplier<PlacementPolicy> placement) {
    return new Variant(
        "placement", name, DispatchPolicies::standard, placement, RetryHandling.JOINED, false);
  }
}
