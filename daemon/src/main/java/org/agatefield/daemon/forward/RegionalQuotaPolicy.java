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
 * Has one instance of each region hold the quota of a client account, and ask the holders of other
 * regions for a loan when its part is used up.
 *
 * <p>Answers accounts whose requests are few or come to few instances, where equal parts refuse
 * what is below the quota, and accounts that flood many instances at once. A region's part follows
 * the instances that are seen there, out of the most that were seen lately, so that parted regions
 * together keep to the quota. An instance that reaches no holder grants its own equal part, which
 * it earns from then on. Confined to one event loop.
 */
final class RegionalQuotaPolicy implements QuotaPolicy {
  /** How often {@link #keep} is to be called. */
  static final long KEEP_MILLISECONDS = 240;

  private static final Logger LOGGER = LogManager.getLogger(RegionalQuotaPolicy.class);
  private static final long ASK_MILLISECONDS = 700; // a holder with a tenth of a core is slow
  private static final long LOAN_MILLISECONDS = 300; // five times the way between regions
  private static final long RETRY_MILLISECONDS = 150; // several are tried in a holder's failure
  private static final long LONGEST_WAIT_MILLISECONDS = 400; // less than a refused caller loses
  private static final long LONGEST_EXHAUSTION_MILLISECONDS = 300; // tokens may come back meanwhile
  // Until then the others may still count on this instance's part.
  private static final long OWN_PART_MILLISECONDS = 2_500;
  private static final long NO_LOAN_MILLISECONDS = 120; // twice the way between regions
  private static final double LENT_SHARE = 0.75; // the rest serves requests of the lender's region
  private static final double LOW_SHARE = 0.4; // of the capacity; below it a loan is asked for
  private static final double WANTED_SHARE = 0.6; // of the capacity, once the loan has come

  private final Timers timers;
  private final LongSupplier clock;
  private final Fleet fleet;
  private final QuotaTolerance tolerance;
  private final FleetSize size;
  private final Supplier<AccountTable> accounts;
  private final QuotaHolders holders = new QuotaHolders();
  private final QuotaBuckets buckets = new QuotaBuckets();
  private final EqualShareQuotaPolicy ownParts;
  private final Set<String> unreached = new HashSet<>();
  private final Set<String> greeted = new HashSet<>(); // by the instance's identifier
  private final Map<String, Long> noLoanUntil = new HashMap<>();
  private final Map<String, Long> exhaustedUntil = new HashMap<>();
  private boolean leaving;

  /** The other instances, as far as quotas need them. */
  interface Fleet {
    /** Returns this instance. */
    Instance self();

    /** Returns the instances that answer, this one included; the same list while none changes. */
    List<Instance> answering();

    /** Returns whether no other instance has been heard lately though there are some. */
    boolean isIsolated();

    /** Sends a message that may be lost. */
    void send(Instance instance, PeerMessage message);

    /** Sends a request; the future completes on the event loop. */
    CompletableFuture<PeerMessage> request(
        Instance instance, PeerMessage message, long limitMilliseconds);
  }

  /** Runs something later on the event loop. */
  @FunctionalInterface
  interface Timers {
    void after(long milliseconds, Runnable work);
  }

  /**
   * Creates a policy that holds no quota yet.
   *
   * @param clock gives monotonic milliseconds
   */
  RegionalQuotaPolicy(
      Timers timers,
      LongSupplier clock,
      Fleet fleet,
      QuotaTolerance tolerance,
      FleetSize size,
      Supplier<AccountTable> accounts) {
    this.timers = timers;
    this.clock = clock;
    this.fleet = fleet;
    this.tolerance = tolerance;
    this.size = size;
    this.accounts = accounts;
    this.ownParts = EqualShareQuotaPolicy.whileCutOff(tolerance, size, clock);
  }

  /** Lets the buckets of the accounts that this instance holds earn before they are asked for. */
  void keep(long now) {
    holders.see(fleet.answering());
    greetOneHolder();
    for (ClientAccount account : accounts.get().accounts()) {
      if (account.quota().isPresent() && isHeldHere(account.name())) {
        QuotaBucket bucket = bucket(account, now);
        if (!refusedLoanLately(account, now) && bucket.level(now) < LOW_SHARE * bucket.capacity()) {
          borrow(account, 0, holders.others(account.name(), region()));
        }
      }
    }
    buckets.removeUnused(this::isHeldHere, now);
  }

  /** Opens the connection to a holder before a request has to wait for it. */
  private void greetOneHolder() {
    for (ClientAccount account : accounts.get().accounts()) {
      Optional<Instance> holder = holders.holder(account.name(), region());
      boolean stranger =
          account.quota().isPresent()
              && holder.isPresent()
              && !isHeldHere(account.name())
              && greeted.add(holder.get().id());
      if (stranger) {
        fleet.request(
            holder.get(), new PeerMessage.QuotaRequest(account.name(), 0, false), ASK_MILLISECONDS);
        return;
      }
    }
  }

  /** Hands what this instance holds to those that hold it next; called once it leaves. */
  void handOver() {
    leaving = true;
    long now = clock.getAsLong();
    List<Instance> staying =
        fleet.answering().stream()
            .filter(instance -> !instance.id().equals(fleet.self().id()))
            .toList();
    QuotaHolders next = new QuotaHolders();
    next.see(staying);
    buckets
        .drain(now)
        .forEach(
            (account, tokens) ->
                next.holder(account, region())
                    .ifPresent(
                        holder ->
                            fleet.send(holder, new PeerMessage.QuotaReturn(account, tokens))));
    LOGGER.info("quotas handed over to {} instances", staying.size());
  }

  @Override
  public void decide(
      ClientAccount account, double tokens, long patienceMilliseconds, Consumer<Decision> told) {
    long now = clock.getAsLong();
    long until = exhaustedUntil.getOrDefault(account.name(), now);
    if (until > now) {
      told.accept(new Decision.Exhausted(until - now));
      return;
    }
    new Asking(account, tokens, patienceMilliseconds, told).ask();
  }

  @Override
  public void refund(ClientAccount account, double tokens) {
    holders.see(fleet.answering());
    if (isHeldHere(account.name())) {
      takeBack(account, tokens);
      return;
    }
    holders
        .holder(account.name(), region())
        .ifPresent(
            holder -> fleet.send(holder, new PeerMessage.QuotaReturn(account.name(), tokens)));
  }

  /** Another instance gives tokens back. */
  void heard(PeerMessage.QuotaReturn returned) {
    account(returned.account()).ifPresent(account -> takeBack(account, returned.tokens()));
  }

  private void takeBack(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    bucket(account, now).refund(tokens, now);
  }

  private Optional<ClientAccount> account(String name) {
    return accounts.get().accounts().stream()
        .filter(each -> each.name().equals(name) && each.quota().isPresent())
        .findFirst();
  }

  /** Answers another instance. */
  CompletableFuture<PeerMessage> answer(PeerMessage.QuotaRequest request) {
    Optional<ClientAccount> account = account(request.account());
    if (account.isEmpty() || leaving) {
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.INTERNAL, "the account's quota is not held here"));
    }
    long now = clock.getAsLong();
    if (request.loan()) {
      QuotaBucket bucket = bucket(account.get(), now);
      double lent = bucket.lend(Math.min(request.tokens(), LENT_SHARE * bucket.level(now)), now);
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(lent, 0));
    }
    return take(account.get(), request.tokens()).thenApply(answer -> answer);
  }

  /** Returns whether this instance holds an account's quota in its region. */
  boolean holds(String account) {
    holders.see(fleet.answering());
    return isHeldHere(account);
  }

  private boolean isHeldHere(String account) {
    return holders
        .holder(account, region())
        .filter(holder -> holder.id().equals(fleet.self().id()))
        .isPresent();
  }

  private String region() {
    return fleet.self().failureDomain().region();
  }

  private QuotaBucket bucket(ClientAccount account, long now) {
    holders.see(fleet.answering());
    TokenQuota quota = account.quota().orElseThrow();
    double seen = Math.max(1, holders.count(region()));
    TokenRate rate =
        tolerance
            .rate(quota.perSecond(), quota.burst())
            .scaled(Math.min(1, seen / size.recentMaximum(now)));
    return buckets.bucket(account.name(), rate, now);
  }

  /** Takes tokens from the bucket held here, with loans of other regions if it lacks some. */
  private CompletableFuture<PeerMessage.QuotaAnswer> take(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    QuotaBucket bucket = bucket(account, now);
    if (bucket.tryTake(tokens, now)) {
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(tokens, 0));
    }
    List<Instance> lenders = holders.others(account.name(), region());
    if (refusedLoanLately(account, now) || lenders.isEmpty()) {
      return CompletableFuture.completedFuture(exhausted(bucket, tokens, now));
    }
    return borrow(account, tokens, lenders);
  }

  private boolean refusedLoanLately(ClientAccount account, long now) {
    return noLoanUntil.getOrDefault(account.name(), now) > now;
  }

  /**
   * Asks the lenders one after the other until the tokens are there.
   *
   * @param tokens what a request waits for; 0 to fill the bucket up only
   */
  private CompletableFuture<PeerMessage.QuotaAnswer> borrow(
      ClientAccount account, double tokens, List<Instance> lenders) {
    long now = clock.getAsLong();
    QuotaBucket bucket = bucket(account, now);
    if (tokens > 0 && bucket.tryTake(tokens, now)) {
      return CompletableFuture.completedFuture(new PeerMessage.QuotaAnswer(tokens, 0));
    }
    double room = Math.max(0, WANTED_SHARE * bucket.capacity() - bucket.level(now));
    double wanted = bucket.shortfall(tokens, now) + room;
    if (lenders.isEmpty() || wanted <= 0) {
      noLoanUntil.put(account.name(), now + NO_LOAN_MILLISECONDS);
      return CompletableFuture.completedFuture(exhausted(bucket, tokens, now));
    }
    PeerMessage request = new PeerMessage.QuotaRequest(account.name(), wanted, true);
    List<Instance> rest = lenders.subList(1, lenders.size());
    return fleet
        .request(lenders.get(0), request, LOAN_MILLISECONDS)
        .handle((answer, failure) -> lent(account, answer, failure))
        .thenCompose(lent -> borrow(account, tokens, rest));
  }

  private double lent(ClientAccount account, PeerMessage answer, Throwable failure) {
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

  /** One request's way to a decision. */
  private final class Asking {
    private final ClientAccount account;
    private final double tokens;
    private final long giveUpAt;
    private final long waitUntil;
    private final Consumer<Decision> told;

    Asking(
        ClientAccount account, double tokens, long patienceMilliseconds, Consumer<Decision> told) {
      this.account = account;
      this.tokens = tokens;
      this.giveUpAt = clock.getAsLong() + patienceMilliseconds;
      this.waitUntil =
          clock.getAsLong() + Math.min(LONGEST_WAIT_MILLISECONDS, patienceMilliseconds);
      this.told = told;
    }

    void ask() {
      holders.see(fleet.answering());
      Optional<Instance> holder = holders.holder(account.name(), region());
      if (holder.isEmpty() || fleet.isIsolated()) {
        failed("no other instance is heard");
        return;
      }
      if (holder.get().id().equals(fleet.self().id())) {
        take(account, tokens).thenAccept(this::answered);
        return;
      }
      fleet
          .request(
              holder.get(),
              new PeerMessage.QuotaRequest(account.name(), tokens, false),
              ASK_MILLISECONDS)
          .whenComplete(
              (answer, failure) -> {
                if (answer instanceof PeerMessage.QuotaAnswer known) {
                  answered(known);
                } else {
                  failed(holder.get().id() + ": " + failure);
                }
              });
    }

    private void answered(PeerMessage.QuotaAnswer answer) {
      unreached.remove(account.name());
      if (answer.grantedTokens() >= tokens) {
        told.accept(new Decision.Granted());
        return;
      }
      long wait = Math.max(1, answer.waitMilliseconds());
      long now = clock.getAsLong();
      if (now + wait <= waitUntil) {
        timers.after(wait, this::ask);
        return;
      }
      exhaustedUntil.put(account.name(), now + Math.min(LONGEST_EXHAUSTION_MILLISECONDS, wait));
      told.accept(new Decision.Exhausted(wait));
    }

    private void failed(String cause) {
      if (unreached.add(account.name())) {
        LOGGER.info("account={} quota holder unreached=\"{}\"", account.name(), cause);
        ownParts.begin(account.name(), clock.getAsLong() + OWN_PART_MILLISECONDS);
      }
      if (ownParts.decide(account, tokens) instanceof Decision.Granted granted) {
        told.accept(granted);
      } else if (clock.getAsLong() + RETRY_MILLISECONDS < giveUpAt) {
        timers.after(RETRY_MILLISECONDS, this::ask);
      } else {
        told.accept(new Decision.Unknown());
      }
    }
  }
}
