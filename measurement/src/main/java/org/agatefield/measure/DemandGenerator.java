package org.agatefield.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Priority;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the arrivals of a run; the same seed gives the same arrivals for every policy. */
final class DemandGenerator {
  static final int CALLERS = 12;
  private static final double POPULARITY_EXPONENT = 0.8;
  private static final double ADAPTER_SHARE = 0.4;
  private static final double NEAR_REGION_SHARE = 0.7;
  private static final int PREFIX_GROUPS = 12;
  private static final int TOKENS_PER_PREFIX = 64;
  private static final double BURST_FACTOR = 5;
  private static final double TENFOLD = 10;
  private static final int STEP_MILLISECONDS = 20;

  private final UserProfile profile;
  private final Scenario scenario;
  private final double capacity;
  private final UniformRandomProvider random;
  private final double[] popularity;
  private final double[][] burstStarts;
  private final int shifted;

  DemandGenerator(UserProfile profile, ServiceTimes times, Scenario scenario, long seed) {
    this.profile = profile;
    this.scenario = scenario;
    this.capacity = times.requestsPerSecondPerRunner() * profile.runnerDomains().size();
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    popularity = popularity();
    burstStarts = burstStarts();
    shifted = Math.min(4, profile.models() - 1);
  }

  List<Arrival> arrivals() {
    List<Arrival> arrivals = new ArrayList<>();
    for (int step = 0; step * STEP_MILLISECONDS < totalSeconds() * 1_000; step++) {
      double seconds = step * STEP_MILLISECONDS / 1_000.0;
      for (int model = 0; model < profile.models(); model++) {
        double expected =
            rate(model, seconds - Driver.WARM_UP_SECONDS) * STEP_MILLISECONDS / 1_000.0;
        while (expected > 0 && random.nextDouble() < Math.min(1, expected)) {
          arrivals.add(arrival(model, seconds));
          expected -= 1;
        }
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::nanoseconds));
    return arrivals;
  }

  private int totalSeconds() {
    return Driver.WARM_UP_SECONDS + scenario.seconds();
  }

  private double rate(int model, double seconds) {
    double rate = scenario.load() * capacity * popularity[model];
    return switch (scenario) {
      case BURSTS -> rate * (isBursting(model, seconds) ? BURST_FACTOR : 1);
      case TENFOLD -> rate * (seconds >= 30 && seconds < 60 ? TENFOLD : 1);
      case SHIFT, STORE_DOWN -> rate * (model == shifted ? shiftFactor(seconds) : 1);
      default -> rate;
    };
  }

  private static double shiftFactor(double seconds) {
    double progress = Math.max(0, Math.min(1, (seconds - 30) / 60));
    return 1 + (TENFOLD - 1) * progress;
  }

  private boolean isBursting(int model, double seconds) {
    for (double start : burstStarts[model]) {
      if (seconds >= start && seconds < start + 5) {
        return true;
      }
    }
    return false;
  }

  private double[] popularity() {
    double[] shares = new double[profile.models()];
    double total = 0;
    for (int model = 0; model < shares.length; model++) {
      shares[model] = 1 / Math.pow(model + 1, POPULARITY_EXPONENT);
      total += shares[model];
    }
    for (int model = 0; model < shares.length; model++) {
      shares[model] /= total;
    }
    return shares;
  }

  private double[][] burstStarts() {
    double[][] starts = new double[profile.models()][3];
    for (double[] ofModel : starts) {
      for (int number = 0; number < ofModel.length; number++) {
        ofModel[number] = random.nextDouble() * scenario.seconds();
      }
    }
    return starts;
  }

  private Arrival arrival(int model, double seconds) {
    final long jitter = random.nextLong(TimeUnit.MILLISECONDS.toNanos(STEP_MILLISECONDS));
    final int caller = random.nextInt(CALLERS);
    int adaptersOfModel = adaptersOf(model);
    boolean usesAdapter = adaptersOfModel > 0 && random.nextDouble() < ADAPTER_SHARE;
    int adapter = usesAdapter ? random.nextInt(adaptersOfModel) : -1;
    int group = random.nextInt(PREFIX_GROUPS);
    int promptTokens = 256 + random.nextInt(512);
    int outputTokens = 32 + random.nextInt(129);
    return new Arrival(
        (long) (seconds * TimeUnit.SECONDS.toNanos(1)) + jitter,
        caller,
        region(),
        usesAdapter ? Fleet.adapterName(model, adapter) : Fleet.modelName(model),
        Fleet.modelName(model),
        priority(caller),
        promptTokens,
        outputTokens,
        outputTokens + random.nextInt(64),
        prefixes(model, adapter, group, promptTokens));
  }

  private int adaptersOf(int model) {
    return Fleet.adaptersOf(profile, model);
  }

  private String region() {
    List<FailureDomain> domains = profile.entryDomains();
    String near = domains.get(0).region();
    String far = domains.get(2).region();
    return random.nextDouble() < NEAR_REGION_SHARE ? near : far;
  }

  private static Priority priority(int caller) {
    return caller % 4 == 0 ? Priority.INTERACTIVE : Priority.STANDARD;
  }

  /** Returns prefix hashes; the first three quarters are shared by the prompts of a group. */
  private List<Long> prefixes(int model, int adapter, int group, int promptTokens) {
    List<Long> prefixes = new ArrayList<>();
    int count = promptTokens / TOKENS_PER_PREFIX;
    long shared = ((model * 1_000L + adapter + 1) * 1_000 + group) * 1_000;
    for (int position = 0; position < count; position++) {
      boolean isShared = position < count * 3 / 4;
      prefixes.add(isShared ? shared + position : random.nextLong() | Long.MIN_VALUE);
    }
    return prefixes;
  }
}
