package org.agatefield.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agatefield.admission.DecayingRate;
import org.agatefield.model.DemandSample;

/**
 * Measures the recent demand for each deployment at this instance. Guarded by the dispatcher's
 * lock.
 */
final class DemandMeter {
  private static final long TIME_CONSTANT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);
  private static final long RETRY_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAXIMUM_REFUSED_REQUESTS = 8_192;
  private static final double NEGLIGIBLE_REQUESTS_PER_SECOND = 0.001;

  private final Map<String, Rates> deployments = new HashMap<>();

  /** Time of the latest refusal by request fingerprint; prevents counting retries as new demand. */
  private final LinkedHashMap<String, Long> refusedRequests =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAXIMUM_REFUSED_REQUESTS;
        }
      };

  private static final class Rates {
    private final DecayingRate requests = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
    private final DecayingRate refused = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
    private final DecayingRate busySeconds = new DecayingRate(TIME_CONSTANT_NANOSECONDS);
  }

  /** Records the first dispatch of a request to an upstream; retries are not recorded. */
  void admitted(String deployment, long nowNanoseconds) {
    rates(deployment).requests.add(1, nowNanoseconds);
  }

  /**
   * Records a refusal; a request and its retries count once.
   *
   * @param fingerprint identical for a request and its retries
   */
  void refused(String deployment, String fingerprint, long nowNanoseconds) {
    Long earlier = refusedRequests.put(fingerprint, nowNanoseconds);
    if (earlier == null || nowNanoseconds - earlier > RETRY_WINDOW_NANOSECONDS) {
      rates(deployment).refused.add(1, nowNanoseconds);
    }
  }

  void busy(String deployment, double seconds, long nowNanoseconds) {
    rates(deployment).busySeconds.add(seconds, nowNanoseconds);
  }

  List<DemandSample> samples(String region, long nowNanoseconds) {
    List<DemandSample> samples = new ArrayList<>(deployments.size());
    deployments.forEach(
        (deployment, rates) -> samples.add(sample(deployment, region, rates, nowNanoseconds)));
    samples.removeIf(DemandMeter::isNegligible);
    return samples;
  }

  private static boolean isNegligible(DemandSample sample) {
    double offered = sample.requestsPerSecond() + sample.refusedPerSecond();
    return offered < NEGLIGIBLE_REQUESTS_PER_SECOND;
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
