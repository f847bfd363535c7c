package org.agatefield.daemon.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.agatefield.admission.HeldWorkOrder;
import org.agatefield.admission.RecentUsage;
import org.agatefield.admission.ReturnSchedule;
import org.agatefield.admission.ReturningCallers;
import org.agatefield.admission.UrgencyShares;
import org.agatefield.forwarding.AccountUsageSharing;
import org.agatefield.forwarding.AccountWeights;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.CompetingRequestsPolicy;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.RoomForecast;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.SendPolicy;
import org.agatefield.forwarding.ServicePressure;
import org.agatefield.knowledge.TargetPressure;

/**
 * Divides the room at runners among the requests of all instances: keeps what accounts and
 * urgencies were given and what lacks room, and decides by it.
 *
 * <p>Confined to one event loop.
 */
final class RoomAllocation {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private final Supplier<Optional<ForwardingTable>> table;
  private final CompetingRequestsPolicy policy;
  private final AccountUsageSharing accounts;
  private final ServicePressure pressure;
  private final UrgencyShares urgencies = new UrgencyShares();
  private final ReturningCallers callers = new ReturningCallers();
  private final ReturnSchedule returns = new ReturnSchedule();
  private final HeldWorkOrder order;
  private Optional<ForwardingTable> weightedTable = Optional.empty();
  private AccountWeights weights;
  private long lastId;

  /** The place of a request among those of its urgency that wait at this instance. Immutable. */
  record Place(int ahead, int size) {
    /** Returns the expected share of the requests of all instances that come before it. */
    double shareAhead() {
      return (ahead + 0.5) / Math.max(1, size);
    }
  }

  /**
   * What becomes of a request that is not sent now. Immutable.
   *
   * @param returnMilliseconds when its caller should come back if it is not held
   */
  record Verdict(boolean held, RoomForecast forecast, long returnMilliseconds) {}

  RoomAllocation(
      Supplier<Optional<ForwardingTable>> table,
      SendPolicy single,
      AccountUsageSharing accounts,
      ServicePressure pressure) {
    this.table = table;
    this.policy = new CompetingRequestsPolicy(single);
    this.accounts = accounts;
    this.pressure = pressure;
    this.order = new HeldWorkOrder(accounts.usage(), urgencies);
  }

  /** Returns the order in which waiting requests get room. */
  HeldWorkOrder order() {
    return order;
  }

  /** Returns the claim of a request that has arrived. */
  RoomClaim claim(
      String service,
      Route route,
      int rank,
      RequestMetadata terms,
      Optional<ClientAccount> account,
      RequestTiming timing,
      long now) {
    lastId++;
    boolean spent =
        callers.hasReturned(
            route.name(), terms.deadlineMilliseconds().orElse(route.timeoutMilliseconds()), now);
    return new RoomClaim(
        lastId,
        service,
        terms.prompt().map(GenerationParameters::model),
        rank,
        account.map(ClientAccount::name).orElse(AccountWeights.NO_ACCOUNT),
        weights().of(account),
        cost(terms),
        timing.objectiveAt(),
        timing.nextEventBy(),
        spent && pressure.isPressed(service, now));
  }

  private static double cost(RequestMetadata terms) {
    return terms
        .prompt()
        .map(prompt -> Math.max(1.0, (double) prompt.promptTokens() + prompt.outputTokens()))
        .orElse(1.0);
  }

  private AccountWeights weights() {
    Optional<ForwardingTable> current = table.get();
    if (weights == null || !current.equals(weightedTable)) {
      weightedTable = current;
      weights = new AccountWeights(current.orElseThrow().accounts());
    }
    return weights;
  }

  /** Decides whether a request is sent to the best runner now. */
  SendPolicy.Decision decide(
      RoomClaim claim, RunnerCandidate candidate, SendPolicy.Timing timing, long now) {
    return policy.decide(candidate, timing, competition(claim, now));
  }

  private CompetingRequestsPolicy.Claim competition(RoomClaim claim, long now) {
    OptionalLong urgentObjective =
        table
            .get()
            .map(each -> each.shortestObjectiveAbove(claim.service(), claim.rank()))
            .orElse(OptionalLong.empty());
    return new CompetingRequestsPolicy.Claim(
        urgentObjective,
        urgentObjective.isPresent()
            && pressure.refuses(claim.service(), claim.model().orElse(""), claim.rank() - 1, now),
        urgencies.isOwed(claim.service(), claim.rank(), now));
  }

  /**
   * Holds a request that is not sent now if there is expected to be room early enough; otherwise
   * says when its caller should come back.
   *
   * @param decision to wait or to refuse
   */
  Verdict holdOrRefuse(
      RoomClaim claim,
      Place place,
      RunnerCandidate candidate,
      RequestTiming timing,
      SendPolicy.Decision decision,
      long now) {
    RoomForecast forecast = forecast(claim, place, candidate, timing.urgency(now), now);
    double untilBegun =
        Math.max(0, candidate.prefillMilliseconds() - forecast.excessMilliseconds());
    long beginsAt = now + forecast.milliseconds() + (long) untilBegun;
    boolean held =
        decision == SendPolicy.Decision.WAIT && isWorthHolding(claim, timing, beginsAt, now);
    return new Verdict(held, forecast, held ? 0 : returnIn(claim, forecast, now));
  }

  private RoomForecast forecast(
      RoomClaim claim, Place place, RunnerCandidate candidate, SendPolicy.Timing timing, long now) {
    String model = claim.model().orElse("");
    TargetPressure before =
        claim.rank() > 0
            ? pressure.upTo(claim.service(), model, claim.rank() - 1, now)
            : TargetPressure.NONE;
    TargetPressure same = pressure.of(claim.service(), model, claim.rank(), now);
    boolean late = claim.objectiveAt() < now;
    double ahead = before.waiting() + same.waiting() * (late ? 1 : place.shareAhead());
    double oneMilliseconds = candidate.uncachedPromptTokens() * candidate.millisecondsPerToken();
    double onePerSecond = MILLISECONDS_PER_SECOND / Math.max(1, oneMilliseconds);
    return new RoomForecast(
        policy.excessMilliseconds(candidate, timing, competition(claim, now)),
        ahead,
        Math.max(onePerSecond, before.sentPerSecond() + same.sentPerSecond()));
  }

  /**
   * Returns whether a request that is expected to begin at a time is worth holding: in time for its
   * caller, and while others are refused also for its objective. A caller that has come back was
   * told to, and is held as long as it waits.
   */
  private boolean isWorthHolding(RoomClaim claim, RequestTiming timing, long beginsAt, long now) {
    if (!timing.isInTime(beginsAt)) {
      return false;
    }
    boolean meetsObjective = beginsAt <= timing.objectiveAt();
    return meetsObjective
        || claim.returned()
        || !pressure.refuses(claim.service(), claim.model().orElse(""), claim.rank(), now);
  }

  private long returnIn(RoomClaim claim, RoomForecast forecast, long now) {
    double refused =
        pressure.returnsExpected(claim.service(), claim.model().orElse(""), claim.rank(), now);
    return returns.returnIn(
        claim.target() + '|' + claim.rank(),
        forecast.behind(refused).milliseconds(),
        forecast.perSecond(),
        now);
  }

  /** Records that a request begins (1) or ceases (-1) to wait for room. */
  void waiting(RoomClaim claim, int change) {
    claim
        .model()
        .ifPresent(model -> pressure.waiting(claim.service(), model, claim.rank(), change));
  }

  /** Records that a request was sent to a runner. */
  void sent(RoomClaim claim, long now) {
    if (claim.model().isEmpty()) {
      return;
    }
    accounts.usage().given(claim.caller(), claim.cost(), now);
    urgencies.given(claim.service(), claim.rank(), claim.cost(), now);
    pressure.sent(claim.service(), claim.model().get(), claim.rank(), now);
  }

  /** Records that a request was refused for lack of room. */
  void refused(RoomClaim claim, long now) {
    claim.model().ifPresent(model -> pressure.refused(claim.service(), model, claim.rank(), now));
  }

  /** Publishes to other instances what has changed. */
  void publish(long now) {
    accounts.publish(now);
    pressure.publish(now);
  }

  /** Returns the recent usage of client accounts. */
  RecentUsage usage() {
    return accounts.usage();
  }
}
