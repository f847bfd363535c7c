package org.agatefield.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the upstream with the least expected time, the sum of waiting behind its outstanding
 * requests, prefill of the part of the prompt that it has not cached, loading the adapter and
 * crossing to another region.
 *
 * <p>Not thread safe.
 */
public final class ExpectedTimeChooser implements UpstreamChooser {
  private final CostModel costs;
  private final PrefixTable prefixes;
  private final UniformRandomProvider random;

  /** Creates a chooser; {@code random} breaks ties. */
  public ExpectedTimeChooser(CostModel costs, PrefixTable prefixes, UniformRandomProvider random) {
    this.costs = costs;
    this.prefixes = prefixes;
    this.random = random;
  }

  @Override
  public Optional<Choice> choose(
      RoutingRequest request, List<Candidate> candidates, long nowNanoseconds) {
    Candidate best = null;
    Estimate bestEstimate = null;
    int ties = 0;
    for (Candidate candidate : candidates) {
      Estimate estimate = estimate(request, candidate);
      if (best == null || estimate.total() < bestEstimate.total()) {
        best = candidate;
        bestEstimate = estimate;
        ties = 1;
      } else if (estimate.total() == bestEstimate.total() && random.nextInt(++ties) == 0) {
        best = candidate;
        bestEstimate = estimate;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    return Optional.of(new Choice(best, bestEstimate.describe()));
  }

  @Override
  public void sent(RoutingRequest request, String upstream) {
    prefixes.sent(upstream, request.prefixHashes());
  }

  private record Estimate(long load, long prefill, long adapter, long crossing) {
    private long total() {
      return load + prefill + adapter + crossing;
    }

    private String describe() {
      return "policy=expected-time load_us="
          + load / 1_000
          + " prefill_us="
          + prefill / 1_000
          + " adapter_us="
          + adapter / 1_000
          + " crossing_us="
          + crossing / 1_000;
    }
  }

  private Estimate estimate(RoutingRequest request, Candidate candidate) {
    double share = (double) candidate.outstanding() / candidate.limit();
    long load = (long) (candidate.nanosecondsPerRequest() * share);
    double cached = prefixes.cachedShare(candidate.upstream(), request.prefixHashes());
    long uncachedTokens = Math.round(request.promptTokens() * (1 - cached));
    long prefill = uncachedTokens * costs.prefillNanosecondsPerToken();
    long adapter = candidate.adapterLoaded() ? 0 : costs.adapterLoadNanoseconds();
    return new Estimate(load, prefill, adapter, crossing(request, candidate));
  }

  private long crossing(RoutingRequest request, Candidate candidate) {
    if (candidate.region().equals(request.region())) {
      return 0;
    }
    return costs.crossingNanoseconds() + request.linkBytes() * costs.crossingNanosecondsPerByte();
  }
}
