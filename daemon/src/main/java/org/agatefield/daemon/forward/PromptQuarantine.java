package org.agatefield.daemon.forward;

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
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps prompts that crash runners away from them.
 *
 * <p>All instances share what was in hand at each crash and which parts runners have survived, and
 * draw the same conclusions from it with {@link CrashAttribution}. A culprit is quarantined on all
 * instances and in the store, so that the knowledge outlives every process. A quarantine ends when
 * a runner survives the part, or after {@link #DURATION_MILLISECONDS}. Invariant: while a part is
 * quarantined here, this instance starts no request with it at a runner.
 *
 * <p>Messages may arrive seconds late, so ages cannot tell whether a survival or a quarantine is
 * newer. The quarantines of a part are numbered instead: the end of a quarantine ends all with the
 * same or a lower number everywhere. Confined to one event loop.
 */
final class PromptQuarantine {
  /** The interval at which evidence is exchanged with a random instance. */
  static final long EXCHANGE_MILLISECONDS = 1_000;

  /** How long a part stays quarantined. */
  static final long DURATION_MILLISECONDS = 600_000;

  private static final Logger LOGGER = LogManager.getLogger(PromptQuarantine.class);
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
  private final QuarantinedParts quarantined = new QuarantinedParts();
  private boolean evaluationScheduled;
  private boolean loaded;
  private long lastLoadAt;

  /** Provides the other instances. */
  interface Fleet {
    Instance self();

    /** Returns the responsive instances including this one. */
    List<Instance> answering();

    /** Sends a message to every other live instance without delivery guarantee. */
    void broadcast(PeerMessage message);

    /** Sends a message to one instance without delivery guarantee. */
    void send(Instance instance, PeerMessage message);
  }

  /** Keeps quarantined parts beyond the life of the processes. */
  interface Records {
    /** Stores a quarantined part; the future may fail. */
    CompletableFuture<Void> save(Quarantined part);

    /**
     * Deletes a part whose quarantines up to a number are over, if one of these is stored; tries
     * again until it succeeds.
     */
    void delete(String part, int number);

    /** Reads the parts whose quarantine has not ended. */
    CompletableFuture<List<Quarantined>> load();
  }

  /**
   * A quarantined part. Immutable.
   *
   * @param number counts the quarantines of the part from 1
   * @param remainingMilliseconds the time until its quarantine ends
   */
  record Quarantined(String part, int number, long remainingMilliseconds) {}

  /**
   * Creates a quarantine that is empty until it has learnt from other instances or the store.
   *
   * @param clock returns monotonic milliseconds
   * @param random returns a random number below its argument
   * @param onQuarantined receives each part as it is quarantined
   */
  PromptQuarantine(
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

  /** Starts to read the parts that were quarantined before this process started. */
  void start() {
    load();
  }

  /**
   * Writes to the store what it has lost, because it came back from an older copy: quarantines that
   * it does not know, and the ends of those that it still holds.
   */
  void storeLostHistory() {
    quarantined.storeLostHistory();
    LOGGER.info(
        "quarantine store_lost_history=true parts={} ended={}",
        quarantined.parts(),
        quarantined.endedParts());
    quarantined.parts().forEach(this::saveInTurn);
    quarantined.endedParts().forEach(part -> records.delete(part, quarantined.endedNumber(part)));
  }

  /** Returns the number of quarantined parts. */
  int size() {
    return quarantined.size();
  }

  /**
   * Returns when the last quarantine among the given parts ends, in monotonic milliseconds; empty
   * if none is quarantined.
   */
  OptionalLong quarantinedUntil(Collection<String> parts) {
    return quarantined.until(parts, clock.getAsLong());
  }

  /**
   * Records a crash that this instance noticed.
   *
   * @param positions the parts of the prompts that were lost before their responses had begun, with
   *     the greatest position of each in its prompts
   */
  void crashed(RunnerEntry runner, Map<String, Integer> positions) {
    long now = clock.getAsLong();
    Map<String, Integer> suspects = new HashMap<>(positions);
    suspects.keySet().removeIf(part -> evidence.isSound(part, now));
    if (suspects.isEmpty()) {
      return;
    }
    CrashAttribution.Crash crash =
        new CrashAttribution.Crash(runner.id(), runner.startTimeMilliseconds());
    record(crash, suspects, now);
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            evidence.crashMessage(crash, now).stream().toList(), List.of(), List.of(), List.of()));
    timers.after(CHECK_AFTER_CRASH_MILLISECONDS, () -> checkStore(suspects.keySet()));
  }

  /** Records that a runner has begun a response on parts and continued to run. */
  void survived(Collection<String> parts) {
    long now = clock.getAsLong();
    List<String> news = new ArrayList<>();
    for (String part : parts) {
      boolean suspect = evidence.survived(part, now);
      if (acquit(part, now) || suspect) {
        news.add(part);
      }
    }
    share(news);
  }

  /** Applies what another instance knows. */
  void evidenceReceived(PeerMessage.CrashEvidence received) {
    long now = clock.getAsLong();
    for (PeerMessage.EndedQuarantine each : received.ended()) {
      quarantined.end(each.part(), each.number(), "another instance ended it", now);
    }
    List<String> news = new ArrayList<>();
    for (PeerMessage.PartSurvival survival : received.survivals()) {
      long at = now - survival.ageMilliseconds();
      evidence.survived(survival.part(), at);
      evidence.survivalShared(survival.part(), at);
      if (evidence.isSound(survival.part(), now) && acquit(survival.part(), now)) {
        news.add(survival.part());
      }
    }
    received.crashes().forEach(crash -> crashReceived(crash, now));
    for (PeerMessage.QuarantinedPart part : received.quarantined()) {
      if (objects(part, now)) {
        quarantined.end(part.part(), part.number(), "a runner survived it", now);
        news.add(part.part());
      } else {
        Quarantined culprit =
            new Quarantined(part.part(), part.number(), part.remainingMilliseconds());
        adopt(culprit, part.stored(), "peer");
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
    // Several instances may know that a part is sound; the first reply spares the others.
    timers.after(
        random.applyAsInt(MAXIMUM_REPLY_DELAY_MILLISECONDS),
        () -> share(evidence.unsharedSound(crash.positions().keySet(), at)));
  }

  /** Returns whether this instance knows that a part is sound that another one quarantines. */
  private boolean objects(PeerMessage.QuarantinedPart part, long now) {
    return !quarantined.contains(part.part())
        && part.number() > quarantined.endedNumber(part.part())
        && evidence.isSound(part.part(), now);
  }

  /** Ends the quarantine of a part that a runner has survived; returns whether there was one. */
  private boolean acquit(String part, long now) {
    Optional<QuarantinedParts.Entry> entry = quarantined.entry(part);
    if (entry.isEmpty()) {
      return false;
    }
    quarantined.end(part, entry.get().number(), "a runner survived it", now);
    records.delete(part, quarantined.endedNumber(part));
    return true;
  }

  /** Shares that runners have survived parts, and that the quarantines of these are over. */
  private void share(Collection<String> parts) {
    if (parts.isEmpty()) {
      return;
    }
    long now = clock.getAsLong();
    List<PeerMessage.PartSurvival> survivals = evidence.survivalMessages(parts, now);
    survivals.forEach(each -> evidence.survivalShared(each.part(), now - each.ageMilliseconds()));
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(), survivals, List.of(), quarantined.endedMessages(parts)));
  }

  /** Sends what is known to a random instance, ends quarantines, and reads the store if needed. */
  void exchange(long now) {
    endExpired(now);
    evidence.forgetOld(now);
    quarantined.forgetEnded(DURATION_MILLISECONDS, now);
    quarantined.parts().forEach(this::saveInTurn);
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
            quarantined.messages(quarantined.parts(), now),
            quarantined.endedMessages()));
  }

  private void endExpired(long now) {
    for (String part : quarantined.expire(now)) {
      if (rank() == 0) {
        records.delete(part, quarantined.endedNumber(part));
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
    for (String part : evidence.culprits(quarantined.parts())) {
      int number = quarantined.endedNumber(part) + 1;
      adopt(
          new Quarantined(part, number, DURATION_MILLISECONDS),
          false,
          "crashes " + evidence.crashesOf(part));
      announce(part);
    }
  }

  private void adopt(Quarantined culprit, boolean stored, String cause) {
    long remaining = Math.min(DURATION_MILLISECONDS, culprit.remainingMilliseconds());
    boolean isNew =
        quarantined.begin(
            culprit.part(), culprit.number(), remaining, stored, cause, clock.getAsLong());
    if (isNew) {
      saveInTurn(culprit.part());
      onQuarantined.accept(culprit.part());
    }
  }

  private void announce(String part) {
    long now = clock.getAsLong();
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(), List.of(), quarantined.messages(List.of(part), now), List.of()));
  }

  /** Stores a quarantine unless another instance has done so or is to do so first. */
  private void saveInTurn(String part) {
    QuarantinedParts.Entry entry = quarantined.entry(part).orElseThrow();
    long now = clock.getAsLong();
    // Others may not have noticed that the store came back older, so nobody's turn is awaited then.
    boolean turn = entry.isLost() || now - entry.beganAt() >= SAVE_TURN_MILLISECONDS * rank();
    if (!turn || !entry.needsSaving()) {
      return;
    }
    entry.savingStarted();
    records
        .save(new Quarantined(part, entry.number(), Math.max(0, entry.until() - now)))
        .whenComplete(
            (done, failure) -> {
              entry.savingEnded(failure == null);
              LOGGER.info(
                  "part={} number={} stored={} failure=\"{}\"",
                  part,
                  entry.number(),
                  failure == null,
                  failure == null ? "" : failure.getMessage());
              if (failure == null) {
                announce(part);
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
            (parts, failure) -> {
              if (failure != null) {
                LOGGER.info("quarantine loaded=false failed=\"{}\"", failure.getMessage());
                return;
              }
              loaded = true;
              parts.forEach(this::adoptStored);
            });
  }

  private void adoptStored(Quarantined part) {
    boolean known = quarantined.contains(part.part());
    adopt(part, true, "store");
    if (!known) {
      announce(part.part());
    }
  }
}
