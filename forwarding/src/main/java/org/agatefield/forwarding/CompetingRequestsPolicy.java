package org.agatefield.forwarding;

import java.util.OptionalLong;

/**
 * Divides the room at runners among requests that compete for it: less urgent requests leave room
 * for more urgent ones, and callers that were refused and have come back are let in before new
 * ones.
 *
 * <p>Answers a peak in which the requests of a service arrive faster than its runners read them.
 * Without it a request with a long objective may fill a runner's backlog far beyond the objective
 * of a more urgent one, which is then refused while the less urgent is served. Stateless and thread
 * safe if the policy for single requests is.
 */
public final class CompetingRequestsPolicy {
  // With a longer backlog only short prompts could start in time.
  private static final double OBJECTIVE_SHARE = 0.75;
  // Leaves more than half of the urgent objective to urgent requests that were turned away.
  private static final double OBJECTIVE_SHARE_UNDER_PRESSURE = 0.3;
  // A request whose objective is nearly as short could not be served in time if it yielded.
  private static final double PATIENT_OBJECTIVES = 2;

  private final SendPolicy single;

  /** Creates a policy on top of one that considers each request for itself. */
  public CompetingRequestsPolicy(SendPolicy single) {
    this.single = single;
  }

  /**
   * The position of a request among its competitors. Immutable.
   *
   * @param urgentObjectiveMilliseconds the shortest objective of more urgent requests for the
   *     service; empty if there are none
   * @param urgentPressure whether more urgent requests for the same model are refused
   * @param owedShare whether its urgency has got less than its guaranteed share of the room
   */
  public record Claim(
      OptionalLong urgentObjectiveMilliseconds, boolean urgentPressure, boolean owedShare) {
    /** The claim of a request that nothing competes with. */
    public static final Claim ALONE = new Claim(OptionalLong.empty(), false, false);
  }

  /** Decides about one request. */
  public SendPolicy.Decision decide(
      RunnerCandidate candidate, SendPolicy.Timing timing, Claim claim) {
    SendPolicy.Decision decision = single.decide(candidate, timing);
    if (decision == SendPolicy.Decision.SEND && mustYield(candidate, timing, claim)) {
      return SendPolicy.Decision.WAIT;
    }
    return decision;
  }

  /** Returns whether a runner's room is left to more urgent requests. */
  private static boolean mustYield(
      RunnerCandidate candidate, SendPolicy.Timing timing, Claim claim) {
    return candidate.backlogMilliseconds() > backlogLeftToUrgent(timing, claim);
  }

  /** Returns the longest backlog that a request of a claim may add to. */
  private static double backlogLeftToUrgent(SendPolicy.Timing timing, Claim claim) {
    if (claim.urgentObjectiveMilliseconds().isEmpty()) {
      return Double.MAX_VALUE;
    }
    long urgentObjective = claim.urgentObjectiveMilliseconds().getAsLong();
    if (claim.urgentPressure() && !claim.owedShare()) {
      return OBJECTIVE_SHARE_UNDER_PRESSURE * urgentObjective;
    }
    boolean patient = timing.objectiveMilliseconds() >= PATIENT_OBJECTIVES * urgentObjective;
    return patient ? OBJECTIVE_SHARE * urgentObjective : Double.MAX_VALUE;
  }

  /** Returns how long a runner's backlog has to shrink until it takes a request of that claim. */
  public double excessMilliseconds(
      RunnerCandidate candidate, SendPolicy.Timing timing, Claim claim) {
    double limit =
        Math.min(
            OBJECTIVE_SHARE * timing.objectiveMilliseconds(), backlogLeftToUrgent(timing, claim));
    return Math.max(0, candidate.backlogMilliseconds() - limit);
  }
}
