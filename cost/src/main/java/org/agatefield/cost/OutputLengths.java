package org.agatefield.cost;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Learns how long outputs are: from the callers' hints, corrected by what such hints were worth,
 * and from the outputs of similar requests.
 *
 * <p>Both sources count by how well they have predicted lately, so that useless hints lose their
 * influence. Outputs are observed as events; how many tokens an event holds is learned from the
 * hints, which are right in the median. Invariants: an estimate lies between one token and the
 * request's maximum; at most {@link #MAXIMUM_GROUPS} groups of requests are remembered. Confined to
 * one thread.
 */
public final class OutputLengths {
  /** Groups of similar requests that are remembered; the least recently used yield. */
  public static final int MAXIMUM_GROUPS = 1_024;

  private static final double DEFAULT_SHARE_OF_MAXIMUM = 0.5;
  private static final double DEFAULT_TOKENS = 100;
  // Until it is known better, a hint or a default is taken to be off by a factor of two.
  private static final double INITIAL_VARIANCE = square(Math.log(2));
  private static final double MINIMUM_VARIANCE = square(Math.log(1.1));
  private static final double MAXIMUM_STEP_LOGARITHM = Math.log(4);
  private static final double SLOWEST_STEP = 0.05;
  private static final double PRIOR_OBSERVATIONS = 2;
  private static final int MAXIMUM_TOKENS_PER_EVENT = 64;
  private static final int ENOUGH_OBSERVATIONS = 6;

  private final Map<String, Deviation> groups =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deviation> eldest) {
          return size() > MAXIMUM_GROUPS;
        }
      };
  private final Deviation tokensPerEvent = new Deviation();

  /** A running mean of logarithms with its variance. */
  private static final class Deviation {
    private double mean;
    private double variance = INITIAL_VARIANCE;
    private int observations;

    void add(double logarithm) {
      observations++;
      double step = Math.max(SLOWEST_STEP, 1.0 / observations);
      double difference =
          observations == 1
              ? logarithm
              : Math.max(
                  -MAXIMUM_STEP_LOGARITHM, Math.min(MAXIMUM_STEP_LOGARITHM, logarithm - mean));
      mean += step * difference;
      if (observations > 1) {
        double varianceStep = Math.max(SLOWEST_STEP, 1 / (observations + PRIOR_OBSERVATIONS));
        variance += varianceStep * (square(difference) - variance);
      }
    }

    double precision() {
      return 1 / Math.max(MINIMUM_VARIANCE, variance);
    }
  }

  /** Returns the expected length of a request's output. */
  public OutputEstimate estimate(RequestShape shape) {
    double precision = 0;
    double weighted = 0;
    Deviation similar = similar(shape);
    if (similar != null) {
      precision += similar.precision();
      weighted += similar.precision() * similar.mean;
    }
    if (hasHint(shape)) {
      Deviation worth = groups.get(hintKey(shape));
      double hintPrecision = worth == null ? 1 / INITIAL_VARIANCE : worth.precision();
      double correction = worth == null ? 0 : worth.mean;
      precision += hintPrecision;
      weighted += hintPrecision * (Math.log(shape.outputHint().getAsInt()) + correction);
    }
    if (precision == 0) {
      return limited(defaultTokens(shape), Math.sqrt(INITIAL_VARIANCE), shape);
    }
    return limited(Math.exp(weighted / precision), Math.sqrt(1 / precision), shape);
  }

  /** Learns from an output that is complete. */
  public void observe(RequestShape shape, int events) {
    if (events <= 0) {
      return;
    }
    if (hasHint(shape)) {
      tokensPerEvent.add(Math.log((double) shape.outputHint().getAsInt() / events));
    }
    double logarithm = Math.log(tokens(events));
    if (hasHint(shape)) {
      group(hintKey(shape)).add(logarithm - Math.log(shape.outputHint().getAsInt()));
    }
    group(routeKey(shape)).add(logarithm);
    group(fineKey(shape)).add(logarithm);
  }

  /** Returns the number of tokens that events hold, as far as it is known. */
  public double tokens(int events) {
    double each =
        tokensPerEvent.observations == 0
            ? 1
            : Math.max(1, Math.min(MAXIMUM_TOKENS_PER_EVENT, Math.exp(tokensPerEvent.mean)));
    return events * each;
  }

  /** Returns whether lengths are known in tokens, not only in events. */
  public boolean knowsTokensPerEvent() {
    return tokensPerEvent.observations >= ENOUGH_OBSERVATIONS;
  }

  private static OutputEstimate limited(double tokens, double deviation, RequestShape shape) {
    double maximum =
        shape.maximumOutputTokens() > 0 ? shape.maximumOutputTokens() : Integer.MAX_VALUE;
    return new OutputEstimate(Math.max(1, Math.min(maximum, tokens)), Math.exp(deviation));
  }

  private static double defaultTokens(RequestShape shape) {
    return shape.maximumOutputTokens() > 0
        ? DEFAULT_SHARE_OF_MAXIMUM * shape.maximumOutputTokens()
        : DEFAULT_TOKENS;
  }

  private Deviation similar(RequestShape shape) {
    Deviation fine = groups.get(fineKey(shape));
    if (fine != null && fine.observations >= ENOUGH_OBSERVATIONS) {
      return fine;
    }
    Deviation route = groups.get(routeKey(shape));
    return route != null && route.observations >= ENOUGH_OBSERVATIONS ? route : fine;
  }

  private static boolean hasHint(RequestShape shape) {
    OptionalInt hint = shape.outputHint();
    return hint.isPresent() && hint.getAsInt() > 0;
  }

  private Deviation group(String key) {
    return groups.computeIfAbsent(key, ignored -> new Deviation());
  }

  private static String hintKey(RequestShape shape) {
    return "hint/" + shape.route() + '/' + shape.account();
  }

  private static String routeKey(RequestShape shape) {
    return "route/" + shape.route();
  }

  private static String fineKey(RequestShape shape) {
    int sizeClass = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, shape.promptTokens()));
    return "fine/" + shape.route() + '/' + shape.model() + '/' + shape.account() + '/' + sizeClass;
  }

  private static double square(double value) {
    return value * value;
  }
}
