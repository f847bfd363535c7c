package org.agatefield.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.DemandSample;
import org.agatefield.model.VersionId;

/**
 * Keeps every version resident and uses spare memory for the replica that is expected to add the
 * most timely answers per gigabyte.
 *
 * <p>Noise in the demand causes no moves: demand is smoothed over time, a further replica must gain
 * more than a threshold, and only a replica with several times the gain displaces another.
 */
public final class GainPlacement implements PlacementPolicy {
  private static final double MEGABYTES_PER_GIGABYTE = 1_000;

  private final GainSettings settings;
  private final Map<String, Double> smoothedBusy = new HashMap<>();
  private final Map<String, Double> smoothedRequests = new HashMap<>();
  private long smoothedAtNanoseconds = Long.MIN_VALUE;

  /** Creates a policy without demand history. */
  public GainPlacement(GainSettings settings) {
    this.settings = settings;
  }

  @Override
  public List<PlannedMove> plan(PlacementInput input) {
    smooth(input);
    PlacementDraft draft = new PlacementDraft(input);
    boolean complete = new ResidentReplicas(draft).apply();
    if (complete && draft.moves().isEmpty()) {
      addReplica(draft);
    }
    return draft.moves();
  }

  private void smooth(PlacementInput input) {
    Map<String, Double> busy = new HashMap<>();
    Map<String, Double> requests = new HashMap<>();
    for (DemandSample sample : input.demand()) {
      double offered = sample.requestsPerSecond() + sample.refusedPerSecond();
      double scale = sample.requestsPerSecond() > 0 ? offered / sample.requestsPerSecond() : 1;
      busy.merge(sample.deployment(), sample.busySecondsPerSecond() * scale, Double::sum);
      requests.merge(sample.deployment(), offered, Double::sum);
    }
    double weight = smoothingWeight(input.nowNanoseconds());
    input
        .configuration()
        .deployments()
        .forEach(
            each -> {
              blend(smoothedBusy, each.name(), busy.getOrDefault(each.name(), 0.0), weight);
              blend(smoothedRequests, each.name(), requests.getOrDefault(each.name(), 0.0), weight);
            });
  }

  private double smoothingWeight(long nowNanoseconds) {
    if (smoothedAtNanoseconds == Long.MIN_VALUE) {
      smoothedAtNanoseconds = nowNanoseconds;
      return 1;
    }
    double elapsed = nowNanoseconds - smoothedAtNanoseconds;
    smoothedAtNanoseconds = nowNanoseconds;
    return 1 - Math.exp(-elapsed / settings.smoothingNanoseconds());
  }

  private static void blend(Map<String, Double> into, String name, double value, double weight) {
    into.merge(name, value, (old, fresh) -> old + weight * (fresh - old));
  }

  private void addReplica(PlacementDraft draft) {
    List<DesiredVersion> byGain =
        DesiredVersion.of(draft.input().configuration()).stream()
            .sorted(
                Comparator.comparingDouble(
                        (DesiredVersion each) -> gain(draft, each, replicas(draft, each)))
                    .reversed())
            .toList();
    for (DesiredVersion version : byGain) {
      double gain = gain(draft, version, replicas(draft, version));
      if (gain < settings.minimumGain()) {
        return;
      }
      Optional<RunnerView> runner = leastLoadedRunner(draft, version);
      if (runner.isPresent()) {
        draft.tryMove(MoveKind.LOAD, runner.get(), version.version(), "gain " + gain);
        return;
      }
      if (displace(draft, version, gain)) {
        return;
      }
    }
  }

  private static int replicas(PlacementDraft draft, DesiredVersion version) {
    return draft.current(version.version()).size();
  }

  /** Returns the timely answers per second and gigabyte that one more replica would add. */
  private double gain(PlacementDraft draft, DesiredVersion version, int replicas) {
    String deployment = version.version().deployment();
    double busy = smoothedBusy.getOrDefault(deployment, 0.0) * version.share();
    double requests = smoothedRequests.getOrDefault(deployment, 0.0) * version.share();
    double before = lateShare(busy / Math.max(1, replicas));
    double after = lateShare(busy / (replicas + 1));
    double gigabytes = version.size().totalMegabytes() / MEGABYTES_PER_GIGABYTE;
    return requests * (before - after) / gigabytes;
  }

  /** Returns the expected share of late answers for a replica that is busy to this degree. */
  private static double lateShare(double busy) {
    double squared = busy * busy;
    return squared / (1 + squared);
  }

  private Optional<RunnerView> leastLoadedRunner(PlacementDraft draft, DesiredVersion version) {
    return draft.availableRunners().stream()
        .filter(view -> draft.fits(view, version.version(), version.size()))
        .min(
            Comparator.comparingDouble((RunnerView view) -> load(draft, view))
                .thenComparing(view -> view.upstream().name()));
  }

  private double load(PlacementDraft draft, RunnerView view) {
    double load = 0;
    for (LedgerEntry entry : draft.ledger(view).entries()) {
      VersionId version = entry.version();
      int replicas = Math.max(1, draft.current(version).size());
      load += smoothedBusy.getOrDefault(version.deployment(), 0.0) / replicas;
    }
    return load / Math.max(1, view.upstream().accelerators());
  }

  /** Drains a replica beyond the minimum whose gain is far lower; returns whether it did. */
  private boolean displace(PlacementDraft draft, DesiredVersion version, double gain) {
    for (RunnerView view : draft.availableRunners()) {
      if (draft.entry(view, version.version()).isPresent()) {
        continue;
      }
      long missing = version.size().totalMegabytes() - draft.freeMegabytes(view);
      Optional<DesiredVersion> victim = lowestGain(draft, view, missing, gain);
      if (victim.isPresent()) {
        String reason = "gains less than " + version.version();
        return draft.tryMove(MoveKind.DRAIN, view, victim.get().version(), reason);
      }
    }
    return false;
  }

  private Optional<DesiredVersion> lowestGain(
      PlacementDraft draft, RunnerView view, long missing, double gain) {
    return DesiredVersion.of(draft.input().configuration()).stream()
        .filter(
            each ->
                draft
                    .entry(view, each.version())
                    .filter(entry -> entry.state() == LedgerState.SERVING)
                    .filter(entry -> entry.reservedMegabytes() >= missing)
                    .isPresent())
        .filter(each -> draft.serving(each.version()).size() > each.minimumReplicas())
        .filter(
            each ->
                gain(draft, each, replicas(draft, each) - 1) * settings.displacementFactor() < gain)
        .min(Comparator.comparingDouble(each -> gain(draft, each, replicas(draft, each) - 1)));
  }
}
