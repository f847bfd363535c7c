package org.agatefield.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agatefield.admission.DecayingRate;
import org.agatefield.model.DemandSample;

/** The recent demand for each deployment at this instance. Confined to the dispatcher's lock. */
final class DemandMeter {
  private static final long TIME_CONSTANT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);
  private static final double FORGOTTEN_REQUESTS_PER_SECOND = 0.001;

  private final Map<String, Rates> deployments = new HashMap<>();

  private static final class Rates {
    private final DecayingRate requests = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
    private final DecayingRate refused = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
    private final DecayingRate busySeconds = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
  }

  void arrived(String deployment, long nowNanoseconds) {
    rates(deployment).requests.add(1, nowNanoseconds);
  }

  void refused(String deployment, long nowNanoseconds) {
    rates(deployment).refused.add(1, nowNanoseconds);
  }

  void busy(String deployment, double seconds, long nowNanoseconds) {
    rates(deployment).busySeconds.add(seconds, nowNanoseconds);
  }

  List<DemandSample> samples(String region, long nowNanoseconds) {
    List<DemandSample> samples = new ArrayList<>(deployments.size());
    deployments.forEach(
        (deployment, rates) -> samples.add(sample(deployment, region, rates, nowNanoseconds)));
    samples.removeIf(sample -> sample.requestsPerSecond() < FORGOTTEN_REQUESTS_PER_SECOND);
    return samples;
  }

  private static DemandSample sample(
      String deployment, String region, Rates rates, long nowNanoseconds) {
    return new DemandSample(
        deployment,
        region,
        rates.requests.perSecond(nowNanoseconds),
        rates.refused.perSecond(nowNanoseconds),
        rates.busySeconds.perSecond(nowNanoseconds));
  }

  private Rates rates(String deployment) {
    return deployments.computeIfAbsent(deployment, ignored -> new Rates());
  }
}
