package org.agatefield.cost;

import java.util.OptionalDouble;
import org.agatefield.knowledge.KnowledgeTable;

/**
 * The pace of each model and the relative speed of each runner, learned from the times that
 * requests took and from what other instances have learned.
 *
 * <p>A request's time is the product of its work, the pace of its model and the inverse of the
 * runner's speed, so that a model's pace is known on a runner that has never served it. Invariant:
 * each estimate lies within the range of its {@link RateKind}. Confined to one thread.
 */
public final class LearnedRates {
  /** The pace of a model that nobody has observed. */
  public static final double DEFAULT_MILLISECONDS_PER_TOKEN = 0.05;

  /** The reading of a prompt of this size says as much as any larger one. */
  private static final double FULL_WORK_MILLISECONDS = 60;

  /** Work that others have sent unseen makes a time longer, and never shorter. */
  private static final double TRUST_IN_SLOW_TIMES = 0.25;

  private final SharedRates speeds;
  private final SharedRates paces;

  /** Creates rates that are shared through two tables. */
  public LearnedRates(KnowledgeTable<RateSum> speeds, KnowledgeTable<RateSum> paces) {
    this.speeds = new SharedRates(RateKind.RUNNER_SPEED, speeds, 1);
    this.paces = new SharedRates(RateKind.MODEL_PACE, paces, DEFAULT_MILLISECONDS_PER_TOKEN);
  }

  /** Creates rates that are not shared. */
  public static LearnedRates unshared() {
    return new LearnedRates(
        new KnowledgeTable<>(RateKind.RUNNER_SPEED), new KnowledgeTable<>(RateKind.MODEL_PACE));
  }

  /** Returns the time to read a prompt token of a model on a runner of speed 1. */
  public double millisecondsPerToken(String model) {
    return Math.exp(paces.logarithm(model));
  }

  /** Returns the same time if requests for the model have been observed lately. */
  public OptionalDouble observedMillisecondsPerToken(String model) {
    return paces.isKnown(model)
        ? OptionalDouble.of(millisecondsPerToken(model))
        : OptionalDouble.empty();
  }

  /** Returns the lasting speed of a runner; 1 is an average runner. */
  public double relativeSpeed(String runner) {
    return Math.exp(speeds.logarithm(runner));
  }

  /**
   * Learns from the time that a runner took for known work.
   *
   * @param model the model of the request
   * @param ownWorkMilliseconds the estimated work of the request on a runner of speed 1
   * @param allWorkMilliseconds the same with the work that was ahead of it
   * @param elapsedMilliseconds the time that passed
   */
  public void observe(
      String runner,
      String model,
      double ownWorkMilliseconds,
      double allWorkMilliseconds,
      double elapsedMilliseconds,
      long nowMilliseconds) {
    if (ownWorkMilliseconds <= 0 || allWorkMilliseconds <= 0 || elapsedMilliseconds <= 0) {
      return;
    }
    double speed = speeds.logarithm(runner);
    double pace = paces.logarithm(model);
    double slowness = Math.log(elapsedMilliseconds / allWorkMilliseconds);
    double size = Math.min(1, allWorkMilliseconds / FULL_WORK_MILLISECONDS);
    double ownShare = Math.min(1, ownWorkMilliseconds / allWorkMilliseconds);
    double trust = slowness > 0 ? TRUST_IN_SLOW_TIMES : 1;
    double weight = trust * size * ownShare * ownShare;
    speeds.observe(runner, -slowness, weight, nowMilliseconds);
    paces.observe(model, pace + slowness + speed, weight, nowMilliseconds);
  }

  /** Takes over what other instances have learned; to be called every second or so. */
  public void refresh(long nowMilliseconds) {
    speeds.refresh(nowMilliseconds);
    paces.refresh(nowMilliseconds);
  }
}
