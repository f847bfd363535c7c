package org.agatefield.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import org.agatefield.forwarding.CrashAttribution;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps requests that crash runners away from them.
 *
 * <p>All instances share what was in hand at each crash and which traits runners have survived, and
 * draw the same conclusions from it with {@link CrashAttribution}. A culprit is quarantined on all
 * instances and in the store, so that the knowledge outlives every process. A quarantine ends when
 * a runner survives the trait, or after {@link #DURATION_MILLISECONDS}. Invariant: while a trait is
 * quarantined here, this instance starts no request with it at a runner.
 *
 * <p>Messages may arrive seconds late, so ages cannot tell whether a survival or a quarantine is
 * newer. The quarantines of a trait are numbered instead: the end of a quarantine ends all with the
 * same or a lower number everywhere. Confined to one event loop.
 */
public final class RequestQuarantine {
  /** The interval at which evidence is exchanged with a random instance. */
  public static final long EXCHANGE_MILLISECONDS = 1_000;

  /** How long a trait stays quarantined. */
  public static final long DURATION_MILLISECONDS = 600_000;

  /**
   * How long a runner must run on after the start of a response to have survived a request. One
   * that crashes on a prompt does so within a few engine steps of its first event.
   */
  public static final long SURVIVAL_MILLISECONDS = 250;

  private static final Logger LOGGER = LogManager.getLogger(RequestQuarantine.class);
  // Covers a report to another region, the delay of its reply, and the way back.
  private static final long SETTLE_MILLISECONDS = 150;
  private static final int MAXIMUM_REPLY_DELAY_MILLISECONDS = 50;
  private static final long LOAD_INTERVAL_MILLISECONDS = 3_000;
  private static final long CHECK_AFTER_CRASH_MILLISECONDS = 1_000;
  // The next instance stores a quarantine if the one before it has not done so within this time.
  private static final long SAVE_TURN_MILLISECONDS = 2_000;

  private final LongSupplier clock;
  private final Timers timers;
  private final Fleet fleet;
  private final Records records;
  private final IntUnaryOperator random;
  private final Consumer<String> onQuarantined;
  private final SharedCrashEvidence evidence = new SharedCrashEvidence();
  private final QuarantinedTraits quarantined = new QuarantinedTraits();
  private boolean evaluationScheduled;
  private boolean loaded;
  private long lastLoadAt;

  /** Provides the other instances. */
  public interface Fleet {
    /** Returns this instance. */
    Instance self();

    /** Returns the responsive instances including this one. */
    List<Instance> answering();

    /** Sends a message to every other live instance without delivery guarantee. */
    void broadcast(PeerMessage message);

    /** Sends a message to one instance without delivery guarantee. */
    void send(Instance instance, PeerMessage message);
  }

  /** Keeps quarantined traits beyond the life of the processes. */
  public interface Records {
    /** Stores a quarantined trait; the future may fail. */
    CompletableFuture<Void> save(Quarantined trait);

    /**
     * Deletes a trait whose quarantines up to a number are over, if one of these is stored; tries
     * again until it succeeds.
     */
    void delete(String trait, int number);

    /** Reads the traits whose quarantine has not ended. */
    CompletableFuture<List<Quarantined>> load();
  }

  /**
   * A quarantined trait. Immutable.
   *
   * @param number counts the quarantines of the trait from 1
   * @param remainingMilliseconds the time until its quarantine ends
   */
  public record Quarantined(String trait, int number, long remainingMilliseconds) {}

  /**
   * Creates a quarantine that is empty until it has learnt from other instances or the store.
   *
   * @param clock returns monotonic milliseconds
   * @param random returns a random number below its argument
   * @param onQuarantined receives each trait as it is quarantined
   */
  public RequestQuarantine(
      LongSupplier clock,
      Timers timers,
      Fleet fleet,
      Records records,
      IntUnaryOperator random,
      Consumer<String> onQuarantined) {
    this.clock = clock;
    this.timers = timers;
    this.fleet = fleet;
    this.records = records;
    this.random = random;
    this.onQuarantined = onQuarantined;
    this.lastLoadAt = clock.getAsLong() - LOAD_INTERVAL_MILLISECONDS;
  }

  /** Starts to read the traits that were quarantined before this process started. */
  public void start() {
    load();
  }

  /**
   * Writes to the store what it has lost, because it came back from an older copy: quarantines that
   * it does not know, and the ends of those that it still holds.
   */
  public void storeLostHistory() {
    quarantined.storeLostHistory();
    LOGGER.info(
        "quarantine store_lost_history=true traits={} ended={}",
        quarantined.traits(),
        quarantined.endedTraits());
    quarantined.traits().forEach(this::saveInTurn);
    quarantined
        .endedTraits()
        .forEach(trait -> records.delete(trait, quarantined.endedNumber(trait)));
  }

  /** Returns the number of quarantined traits. */
  public int size() {
    return quarantined.size();
  }

  /** Returns when the quarantine of each trait ends, in monotonic milliseconds. */
  public Map<String, Long> endTimes() {
    return quarantined.endTimes();
  }

  /**
   * Returns when the last quarantine among the given traits ends, in monotonic milliseconds; empty
   * if none is quarantined.
   */
  public OptionalLong quarantinedUntil(Collection<String> traits) {
    return quarantined.until(traits, clock.getAsLong());
  }

  /** Returns whether one of the given traits may have caused a crash, as far as is known. */
  public boolean isSuspected(Collection<String> traits) {
    return traits.stream().anyMatch(evidence::isSuspected);
  }

  /** Returns whether a process of an upstream is known to have crashed. */
  public boolean hasCrashed(String upstream, long startTimeMilliseconds) {
    return evidence.hasCrashed(new CrashAttribution.Crash(upstream, startTimeMilliseconds));
  }

  /**
   * Records a crash that this instance noticed.
   *
   * @param positions the traits of the requests that were lost before their responses had begun,
   *     with the greatest position of each among those of its requests
   */
  public void crashed(UpstreamProcess process, Map<String, Integer> positions) {
    long now = clock.getAsLong();
    Map<String, Integer> suspects = new HashMap<>(positions);
    suspects.keySet().removeIf(trait -> evidence.isSound(trait, now));
    if (suspects.isEmpty()) {
      return;
    }
    CrashAttribution.Crash crash =
        new CrashAttribution.Crash(process.upstream(), process.startTimeMilliseconds());
    record(crash, suspects, now);
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            evidence.crashMessage(crash, now).stream().toList(), List.of(), List.of(), List.of()));
    timers.after(CHECK_AFTER_CRASH_MILLISECONDS, () -> checkStore(suspects.keySet()));
  }

  /** Records that a runner has begun a response on traits and continued to run. */
  public void survived(Collection<String> traits) {
    long now = clock.getAsLong();
    List<String> news = new ArrayList<>();
    for (String trait : traits) {
      boolean suspect = evidence.survived(trait, now);
      if (acquit(trait, now) || suspect) {
        news.add(trait);
      }
    }
    share(news);
  }

  /** Applies what another instance knows. */
  public void evidenceReceived(PeerMessage.CrashEvidence received) {
    long now = clock.getAsLong();
    for (PeerMessage.EndedQuarantine each : received.ended()) {
      quarantined.end(each.trait(), each.number(), "another instance ended it", now);
    }
    List<String> news = new ArrayList<>();
    for (PeerMessage.TraitSurvival survival : received.survivals()) {
      long at = now - survival.ageMilliseconds();
      evidence.survived(survival.trait(), at);
      evidence.survivalShared(survival.trait(), at);
      if (evidence.isSound(survival.trait(), now) && acquit(survival.trait(), now)) {
        news.add(survival.trait());
      }
    }
    received.crashes().forEach(crash -> crashReceived(crash, now));
    for (PeerMessage.QuarantinedTrait trait : received.quarantined()) {
      if (objects(trait, now)) {
        quarantined.end(trait.trait(), trait.number(), "a runner survived it", now);
        news.add(trait.trait());
      } else {
        Quarantined culprit =
            new Quarantined(trait.trait(), trait.number(), trait.remainingMilliseconds());
        adopt(culprit, trait.stored(), "peer");
      }
    }
    share(news);
  }

  private void crashReceived(PeerMessage.RunnerCrash crash, long now) {
    long at = now - crash.ageMilliseconds();
    record(
        new CrashAttribution.Crash(crash.runner(), crash.startTimeMilliseconds()),
        crash.positions(),
        at);
    // Several instances may know that a trait is sound; the first reply spares the others.
    timers.after(
        random.applyAsInt(MAXIMUM_REPLY_DELAY_MILLISECONDS),
        () -> share(evidence.unsharedSound(crash.positions().keySet(), at)));
  }

  /** Returns whether this instance knows that a trait is sound that another one quarantines. */
  private boolean objects(PeerMessage.QuarantinedTrait trait, long now) {
    return !quarantined.contains(trait.trait())
        && trait.number() > quarantined.endedNumber(trait.trait())
        && evidence.isSound(trait.trait(), now);
  }

  /** Ends the quarantine of a trait that a runner has survived; returns whether there was one. */
  private boolean acquit(String trait, long now) {
    Optional<QuarantinedTraits.Entry> entry = quarantined.entry(trait);
    if (entry.isEmpty()) {
      return false;
    }
    quarantined.end(trait, entry.get().number(), "a runner survived it", now);
    records.delete(trait, quarantined.endedNumber(trait));
    return true;
  }

  /** Shares that runners have survived traits, and that the quarantines of these are over. */
  private void share(Collection<String> traits) {
    if (traits.isEmpty()) {
      return;
    }
    long now = clock.getAsLong();
    List<PeerMessage.TraitSurvival> survivals = evidence.survivalMessages(traits, now);
    survivals.forEach(each -> evidence.survivalShared(each.trait(), now - each.ageMilliseconds()));
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(), survivals, List.of(), quarantined.endedMessages(traits)));
  }

  /** Sends what is known to a random instance, ends quarantines, and reads the store if needed. */
  public void exchange(long now) {
    endExpired(now);
    evidence.forgetOld(now);
    quarantined.forgetEnded(DURATION_MILLISECONDS, now);
    quarantined.traits().forEach(this::saveInTurn);
    if (!loaded) {
      load();
    }
    List<Instance> others =
        fleet.answering().stream().filter(each -> !each.id().equals(fleet.self().id())).toList();
    if (others.isEmpty() || (quarantined.isEmpty() && evidence.isEmpty(now))) {
      return;
    }
    fleet.send(
        others.get(random.applyAsInt(others.size())),
        new PeerMessage.CrashEvidence(
            evidence.crashMessages(now),
            List.of(),
            quarantined.messages(quarantined.traits(), now),
            quarantined.endedMessages()));
  }

  private void endExpired(long now) {
    for (String trait : quarantined.expire(now)) {
      if (rank() == 0) {
        records.delete(trait, quarantined.endedNumber(trait));
      }
    }
  }

  private void record(CrashAttribution.Crash crash, Map<String, Integer> positions, long at) {
    evidence.crashed(crash, positions, at);
    if (!evaluationScheduled) {
      evaluationScheduled = true;
      timers.after(SETTLE_MILLISECONDS, this::evaluate);
    }
  }

  private void evaluate() {
    evaluationScheduled = false;
    for (String trait : evidence.culprits(quarantined.traits())) {
      int number = quarantined.endedNumber(trait) + 1;
      adopt(
          new Quarantined(trait, number, DURATION_MILLISECONDS),
          false,
          "crashes " + evidence.crashesOf(trait));
      announce(trait);
    }
  }

  private void adopt(Quarantined culprit, boolean stored, String cause) {
    long remaining = Math.min(DURATION_MILLISECONDS, culprit.remainingMilliseconds());
    boolean isNew =
        quarantined.begin(
            culprit.trait(), culprit.number(), remaining, stored, cause, clock.getAsLong());
    if (isNew) {
      saveInTurn(culprit.trait());
      onQuarantined.accept(culprit.trait());
    }
  }

  private void announce(String trait) {
    long now = clock.getAsLong();
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(), List.of(), quarantined.messages(List.of(trait), now), List.of()));
  }

  /** Stores a quarantine unless another instance has done so or is to do so first. */
  private void saveInTurn(String trait) {
    QuarantinedTraits.Entry entry = quarantined.entry(trait).orElseThrow();
    long now = clock.getAsLong();
    // Others may not have noticed that the store came back older, so nobody's turn is awaited then.
    boolean turn = entry.isLost() || now - entry.beganAt() >= SAVE_TURN_MILLISECONDS * rank();
    if (!turn || !entry.needsSaving()) {
      return;
    }
    entry.savingStarted();
    records
        .save(new Quarantined(trait, entry.number(), Math.max(0, entry.until() - now)))
        .whenComplete(
            (done, failure) -> {
              entry.savingEnded(failure == null);
              LOGGER.info(
                  "trait={} number={} stored={} failure=\"{}\"",
                  trait,
                  entry.number(),
                  failure == null,
                  failure == null ? "" : failure.getMessage());
              if (failure == null) {
                announce(trait);
              }
            });
  }

  /** Returns the place of this instance among those that may store a quarantine. */
  private int rank() {
    List<String> ids = fleet.answering().stream().map(Instance::id).sorted().toList();
    return ids.indexOf(fleet.self().id());
  }

  /** Reads the store if suspects are still unexplained, since other instances may be cut off. */
  private void checkStore(Collection<String> suspects) {
    boolean explained = suspects.stream().anyMatch(quarantined::contains);
    if (!explained && suspects.stream().anyMatch(evidence::isSuspected)) {
      load();
    }
  }

  private void load() {
    long now = clock.getAsLong();
    if (now - lastLoadAt < LOAD_INTERVAL_MILLISECONDS) {
      return;
    }
    lastLoadAt = now;
    records
        .load()
        .whenComplete(
            (traits, failure) -> {
              if (failure != null) {
                LOGGER.info("quarantine loaded=false failed=\"{}\"", failure.getMessage());
                return;
              }
              loaded = true;
              traits.forEach(this::adoptStored);
            });
  }

  private void adoptStored(Quarantined trait) {
    boolean known = quarantined.contains(trait.trait());
    adopt(trait, true, "store");
    if (!known) {
      announce(trait.trait());
    }
  }
}
