package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.QuotaBucket;
import org.agatefield.admission.QuotaBuckets;
import org.agatefield.admission.QuotaTolerance;
import org.agatefield.admission.TokenRate;
import org.agatefield.daemon.quarantine.Timers;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Enforces quotas through one holder instance per region and client account; a holder whose share
 * is used up borrows tokens from the holders of other regions.
 *
 * <p>With equal shares per instance, accounts that send few requests, or send them to few
 * instances, would be refused although they are below their quota. A single holder per region
 * avoids this and also limits accounts that flood many instances at once. A region's share is the
 * number of instances visible in the region divided by the highest recent number of instances in
 * the fleet, so that partitioned regions together stay within the quota. An instance that cannot
 * reach a holder grants from its own equal share, which starts to refill {@link
 * #LOCAL_SHARE_DELAY_MILLISECONDS} later. Confined to one event loop.
 */
final class RegionalQuotaPolicy implements QuotaPolicy {
  /** Interval at which {@link #refresh} must be called. */
  static final long REFRESH_MILLISECONDS = 240;

  private static final Logger LOGGER = LogManager.getLogger(RegionalQuotaPolicy.class);
  // Holders limited to 0.1 core respond slowly.
  private static final long REQUEST_TIMEOUT_MILLISECONDS = 700;
  // Five times the latency between regions.
  private static final long LOAN_TIMEOUT_MILLISECONDS = 300;
  // Allows several attempts during a holder failure.
  private static final long RETRY_MILLISECONDS = 150;
  // Shorter than the time a caller loses when it is refused.
  private static final long MAXIMUM_WAIT_MILLISECONDS = 400;
  // Refunds may make tokens available earlier.
  private static final long MAXIMUM_EXHAUSTION_MILLISECONDS = 300;
  // Other instances may still count on this instance's share until this time has passed.
  private static final long LOCAL_SHARE_DELAY_MILLISECONDS = 2_500;
  private static final long LOAN_PAUSE_MILLISECONDS = 120; // Twice the latency between regions.
  // The rest is reserved for requests of the lender's region.
  private static final double MAXIMUM_LENT_SHARE = 0.75;
  // Fraction of the capacity below which a loan is requested.
  private static final double LOW_SHARE = 0.4;
  private static final double TARGET_SHARE = 0.6; // Fraction of the capacity to reach with a loan.

  private final Timers timers;
  private final LongSupplier clock;
  private final Fleet fleet;
  private final QuotaTolerance tolerance;
  private final FleetSize fleetSize;
  private final Supplier<AccountTable> accounts;
  private final RegionalHolders holders = new RegionalHolders();
  private final QuotaBuckets buckets = new QuotaBuckets();
  private final EqualShareQuotaPolicy localShares;
  private final Set<String> accountsWithoutHolder = new HashSet<>();
  private final Set<String> contactedHolders = new HashSet<>(); // Instance identifiers.
  private final Map<String, Long> loanPausedUntil = new HashMap<>();
  private final Map<String, Long> exhaustedUntil = new HashMap<>();
  private boolean leaving;

  /** Provides the instances and the messaging that quotas need. */
  interface Fleet {
    Instance self();

    /**
     * Returns the responsive instances including this one; returns the same list object while
     * nothing changes.
     */
    List<Instance> answering();

    /**
     * Returns whether nothing has been received from any other instance recently although others
     * exist.
     */
    boolean isIsolated();

    /** Sends a message without delivery guarantee. */
    void send(Instance instance, PeerMessage message);

    /** Sends a request; the future completes on the event loop. */
    CompletableFuture<PeerMessage> request(
        Instance instance, PeerMessage message, long limitMilliseconds);
  }

  /**
   * Creates a policy that holds no quota yet.
   *
   * @param clock returns monotonic milliseconds
   */
  RegionalQuotaPolicy(
      Timers timers,
      LongSupplier clock,
      Fleet fleet,
      QuotaTolerance tolerance,
      FleetSize fleetSize,
      Supplier<AccountTable> accounts) {
    this.timers = timers;
    this.clock = clock;
    this.fleet = fleet;
    this.tolerance = tolerance;
    this.fleetSize = fleetSize;
    this.accounts = accounts;
    this.localShares = EqualShareQuotaPolicy.whileIsolated(tolerance, fleetSize, clock);
  }

  /**
   * Refills the buckets of the accounts that this instance holds, and requests loans for those that
   * run low, before requests need the tokens.
   */
  void refresh(long now) {
    holders.update(fleet.answering());
    connectToOneHolder();
    for (ClientAccount account : accounts.get().accounts()) {
      if (account.quota().isPresent() && isHolder(account.name())) {
        QuotaBucket bucket = bucket(account, now);
        if (!isLoanPaused(account, now) && bucket.level(now) < LOW_SHARE * bucket.capacity()) {
          borrow(account, 0, holders.others(account.name(), region()));
        }
      }
    }
    buckets.removeUnused(this::isHolder, now);
  }

  /** Opens the connection to one holder in advance, so that no request has to wait for it. */
  private void connectToOneHolder() {
    for (ClientAccount account : accounts.get().accounts()) {
      Optional<Instance> holder = holders.holder(account.name(), region());
      boolean notContacted =
          account.quota().isPresent()
              && holder.isPresent()
              && !isHolder(account.name())
              && contactedHolders.add(holder.get().id());
      if (notContacted) {
        fleet.request(
            holder.get(),
            new PeerMessage.QuotaRequest(account.name(), 0, false),
            REQUEST_TIMEOUT_MILLISECONDS);
        return;
      }
    }
  }

  /**
   * Transfers the tokens held by this instance to the next holders; called once when this instance
   * leaves.
   */
  void transferToNextHolders() {
    leaving = true;
    long now = clock.getAsLong();
    List<Instance> staying =
        fleet.answering().stream()
            .filter(instance -> !instance.id().equals(fleet.self().id()))
            .toList();
    RegionalHolders next = new RegionalHolders();
    next.update(staying);
    buckets
        .drain(now)
        .forEach(
            (account, tokens) ->
                next.holder(account, region())
                    .ifPresent(
                        holder ->
                            fleet.send(holder, new PeerMessage.QuotaReturn(account, tokens))));
    LOGGER.info("transferred quotas to the next holders among {} instances", staying.size());
  }

  @Override
  public void decide(
      ClientAccount account,
      double tokens,
      long timeoutMilliseconds,
      Consumer<Decision> onDecision) {
    long now = clock.getAsLong();
    long until = exhaustedUntil.getOrDefault(account.name(), now);
    if (until > now) {
      onDecision.accept(new Decision.Exhausted(until - now));
      return;
    }
    new DecisionRequest(account, tokens, timeoutMilliseconds, onDecision).requestDecision();
  }

  @Override
  public void refund(ClientAccount account, double tokens) {
    holders.update(fleet.answering());
    if (isHolder(account.name())) {
      refundToBucket(account, tokens);
      return;
    }
    holders
        .holder(account.name(), region())
        .ifPresent(
            holder -> fleet.send(holder, new PeerMessage.QuotaReturn(account.name(), tokens)));
  }

  /** Adds tokens returned by another instance to the account's bucket. */
  void tokensReturned(PeerMessage.QuotaReturn returned) {
    account(returned.account()).ifPresent(account -> refundToBucket(account, returned.tokens()));
  }

  private void refundToBucket(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    bucket(account, now).refund(tokens, now);
  }

  private Optional<ClientAccount> account(String name) {
    return accounts.get().accounts().stream()
        .filter(each -> each.name().equals(name) && each.quota().isPresent())
        .findFirst();
  }

  /** Responds to a token or loan request of another instance. */
  CompletableFuture<PeerMessage> answer(PeerMessage.QuotaRequest request) {
    Optional<ClientAccount> account = account(request.account());
    if (account.isEmpty() || leaving) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(
              ErrorKind.INTERNAL, "this instance does not hold the account's quota"));
    }
    long now = clock.getAsLong();
    if (request.loan()) {
      QuotaBucket bucket = bucket(account.get(), now);
      double lent =
          bucket.lend(Math.min(request.tokens(), MAXIMUM_LENT_SHARE * bucket.level(now)), now);
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(lent, 0));
    }
    return take(account.get(), request.tokens()).thenApply(answer -> answer);
  }

  /** Returns whether this instance holds the account's quota in its region. */
  boolean holds(String account) {
    holders.update(fleet.answering());
    return isHolder(account);
  }

  private boolean isHolder(String account) {
    return holders
        .holder(account, region())
        .filter(holder -> holder.id().equals(fleet.self().id()))
        .isPresent();
  }

  private String region() {
    return fleet.self().failureDomain().region();
  }

  private QuotaBucket bucket(ClientAccount account, long now) {
    holders.update(fleet.answering());
    TokenQuota quota = account.quota().orElseThrow();
    double visible = Math.max(1, holders.count(region()));
    TokenRate rate =
        tolerance
            .rate(quota.perSecond(), quota.burst())
            .scaled(Math.min(1, visible / fleetSize.recentMaximum(now)));
    return buckets.bucket(account.name(), rate, now);
  }

  /** Takes tokens from the local bucket; borrows from other regions if there are too few. */
  private CompletableFuture<PeerMessage.QuotaAnswer> take(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    QuotaBucket bucket = bucket(account, now);
    if (bucket.tryTake(tokens, now)) {
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(tokens, 0));
    }
    List<Instance> lenders = holders.others(account.name(), region());
    if (isLoanPaused(account, now) || lenders.isEmpty()) {
      return CompletableFuture.completedFuture(exhausted(bucket, tokens, now));
    }
    return borrow(account, tokens, lenders);
  }

  private boolean isLoanPaused(ClientAccount account, long now) {
    return loanPausedUntil.getOrDefault(account.name(), now) > now;
  }

  /**
   * Requests loans from the lenders in turn until enough tokens are available.
   *
   * @param tokens the tokens that a request needs; 0 only refills the bucket
   */
  private CompletableFuture<PeerMessage.QuotaAnswer> borrow(
      ClientAccount account, double tokens, List<Instance> lenders) {
    long now = clock.getAsLong();
    QuotaBucket bucket = bucket(account, now);
    if (tokens > 0 && bucket.tryTake(tokens, now)) {
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(tokens, 0));
    }
    double refill = Math.max(0, TARGET_SHARE * bucket.capacity() - bucket.level(now));
    double requested = bucket.shortfall(tokens, now) + refill;
    if (lenders.isEmpty() || requested <= 0) {
      loanPausedUntil.put(account.name(), now + LOAN_PAUSE_MILLISECONDS);
      return CompletableFuture.completedFuture(exhausted(bucket, tokens, now));
    }
    PeerMessage request = new PeerMessage.QuotaRequest(account.name(), requested, true);
    List<Instance> rest = lenders.subList(1, lenders.size());
    return fleet
        .request(lenders.get(0), request, LOAN_TIMEOUT_MILLISECONDS)
        .handle((answer, failure) -> addLoan(account, answer, failure))
        .thenCompose(lent -> borrow(account, tokens, rest));
  }

  private double addLoan(ClientAccount account, PeerMessage answer, Throwable failure) {
    if (!(answer instanceof PeerMessage.QuotaAnswer loan)) {
      LOGGER.debug("account={} loan failed=\"{}\"", account.name(), String.valueOf(failure));
      return 0;
    }
    long now = clock.getAsLong();
    bucket(account, now).add(loan.grantedTokens(), now);
    return loan.grantedTokens();
  }

  private static PeerMessage.QuotaAnswer exhausted(QuotaBucket bucket, double tokens, long now) {
    return new PeerMessage.QuotaAnswer(0, Math.max(1, bucket.millisecondsUntil(tokens, now)));
  }

  /** Obtains the quota decision for one request, with retries. */
  private final class DecisionRequest {
    private final ClientAccount account;
    private final double tokens;
    private final long expiresAt;
    private final long waitUntil;
    private final Consumer<Decision> onDecision;

    DecisionRequest(
        ClientAccount account,
        double tokens,
        long timeoutMilliseconds,
        Consumer<Decision> onDecision) {
      this.account = account;
      this.tokens = tokens;
      this.expiresAt = clock.getAsLong() + timeoutMilliseconds;
      this.waitUntil = clock.getAsLong() + Math.min(MAXIMUM_WAIT_MILLISECONDS, timeoutMilliseconds);
      this.onDecision = onDecision;
    }

    void requestDecision() {
      holders.update(fleet.answering());
      Optional<Instance> holder = holders.holder(account.name(), region());
      if (holder.isEmpty() || fleet.isIsolated()) {
        failed("no other instance is reachable");
        return;
      }
      if (holder.get().id().equals(fleet.self().id())) {
        take(account, tokens)
            .whenComplete(
                (decided, failure) -> {
                  if (failure == null) {
                    answered(decided);
                  } else {
                    failed(failure.toString());
                  }
                });
        return;
      }
      fleet
          .request(
              holder.get(),
              new PeerMessage.QuotaRequest(account.name(), tokens, false),
              REQUEST_TIMEOUT_MILLISECONDS)
          .whenComplete(
              (answer, failure) -> {
                if (answer instanceof PeerMessage.QuotaAnswer decided) {
                  answered(decided);
                } else {
                  failed(holder.get().id() + ": " + failure);
                }
              });
    }

    private void answered(PeerMessage.QuotaAnswer answer) {
      accountsWithoutHolder.remove(account.name());
      if (answer.grantedTokens() >= tokens) {
        onDecision.accept(new Decision.Granted());
        return;
      }
      long wait = Math.max(1, answer.waitMilliseconds());
      long now = clock.getAsLong();
      if (now + wait <= waitUntil) {
        timers.after(wait, this::requestDecision);
        return;
      }
      exhaustedUntil.put(account.name(), now + Math.min(MAXIMUM_EXHAUSTION_MILLISECONDS, wait));
      onDecision.accept(new Decision.Exhausted(wait));
    }

    private void failed(String cause) {
      if (accountsWithoutHolder.add(account.name())) {
        LOGGER.info("account={} quota holder unreached=\"{}\"", account.name(), cause);
        localShares.restart(account.name(), clock.getAsLong() + LOCAL_SHARE_DELAY_MILLISECONDS);
      }
      if (localShares.decide(account, tokens) instanceof Decision.Granted granted) {
        onDecision.accept(granted);
      } else if (clock.getAsLong() + RETRY_MILLISECONDS < expiresAt) {
        timers.after(RETRY_MILLISECONDS, this::requestDecision);
      } else {
        onDecision.accept(new Decision.Unknown());
      }
    }
  }
}
