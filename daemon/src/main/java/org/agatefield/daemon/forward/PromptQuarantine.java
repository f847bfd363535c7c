package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
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
  // Twice the time in which a message reaches every region.
  private static final long SETTLE_MILLISECONDS = 150;
  private static final int MAXIMUM_REPLY_DELAY_MILLISECONDS = 50;
  // Older crashes have reached every instance that was not cut off.
  private static final long EXCHANGED_EVIDENCE_MILLISECONDS = 30_000;
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
  private final CrashAttribution attribution = new CrashAttribution();
  private final Map<String, Entry> quarantined = new HashMap<>();
  private final Map<String, Ended> ended = new HashMap<>();
  private final Map<CrashAttribution.Crash, RecentCrash> recent = new HashMap<>();
  private final Set<String> suspected = new HashSet<>();
  private final Map<String, Long> sharedSurvivals = new HashMap<>();
  private boolean evaluationScheduled;
  private boolean loaded;
  private long lastLoadAt;

  /** Runs tasks later on the event loop. */
  interface Timers {
    void after(long milliseconds, Runnable task);
  }

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

    /** Deletes a part whose quarantine is over, if it is stored; tries again until it succeeds. */
    void delete(String part);

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

  /** A quarantined part. */
  private static final class Entry {
    private final int number;
    private final long until;
    private final long adoptedAt;
    private boolean stored;
    private boolean saving;

    Entry(int number, long until, long adoptedAt, boolean stored) {
      this.number = number;
      this.until = until;
      this.adoptedAt = adoptedAt;
      this.stored = stored;
    }
  }

  private record Ended(int number, long at) {}

  private record RecentCrash(long at, Map<String, Integer> positions) {}

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

  /** Returns the number of quarantined parts. */
  int size() {
    return quarantined.size();
  }

  /**
   * Returns when the last quarantine among the given parts ends, in monotonic milliseconds; empty
   * if none is quarantined.
   */
  OptionalLong quarantinedUntil(Collection<String> parts) {
    if (quarantined.isEmpty()) {
      return OptionalLong.empty();
    }
    return parts.stream()
        .map(quarantined::get)
        .filter(entry -> entry != null && entry.until > clock.getAsLong())
        .mapToLong(entry -> entry.until)
        .max();
  }

  /**
   * Records a crash that this instance noticed.
   *
   * @param positions the shared parts of the prompts that were lost before their responses had
   *     begun, with the greatest position of each in its prompts
   */
  void crashed(RunnerEntry runner, Map<String, Integer> positions) {
    long now = clock.getAsLong();
    Map<String, Integer> suspects = new HashMap<>(positions);
    suspects.keySet().removeIf(part -> attribution.isSound(part, now));
    if (suspects.isEmpty()) {
      return;
    }
    CrashAttribution.Crash crash =
        new CrashAttribution.Crash(runner.id(), runner.startTimeMilliseconds());
    record(crash, suspects, now);
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(message(crash, recent.get(crash), now)), List.of(), List.of(), List.of()));
    timers.after(CHECK_AFTER_CRASH_MILLISECONDS, () -> checkStore(suspects.keySet()));
  }

  /** Records that a runner has begun a response on parts and continued to run. */
  void survived(Collection<String> parts) {
    long now = clock.getAsLong();
    List<String> news = new ArrayList<>();
    for (String part : parts) {
      attribution.survived(part, now);
      boolean suspect = suspected.remove(part);
      if (suspect || quarantined.containsKey(part)) {
        acquit(part, now);
        news.add(part);
      }
    }
    share(news);
  }

  /** Applies what another instance knows. */
  void evidenceReceived(PeerMessage.CrashEvidence evidence) {
    long now = clock.getAsLong();
    evidence.ended().forEach(each -> endReceived(each, now));
    evidence.survivals().forEach(each -> survivalReceived(each, now));
    for (PeerMessage.RunnerCrash crash : evidence.crashes()) {
      long at = now - crash.ageMilliseconds();
      record(
          new CrashAttribution.Crash(crash.runner(), crash.startTimeMilliseconds()),
          crash.positions(),
          at);
      // Several instances may know that a part is sound; the first reply spares the others.
      timers.after(
          random.applyAsInt(MAXIMUM_REPLY_DELAY_MILLISECONDS),
          () -> shareSurvivals(crash.positions().keySet(), at));
    }
    List<String> objections = new ArrayList<>();
    for (PeerMessage.QuarantinedPart part : evidence.quarantined()) {
      boolean known = quarantined.containsKey(part.part());
      boolean valid = part.number() > endedNumber(part.part());
      if (valid && !known && attribution.isSound(part.part(), now)) {
        ended.put(part.part(), new Ended(part.number(), now));
        objections.add(part.part());
      } else {
        adopt(
            new Quarantined(part.part(), part.number(), part.remainingMilliseconds()),
            part.stored(),
            "peer");
      }
    }
    share(objections);
  }

  private void endReceived(PeerMessage.EndedQuarantine end, long now) {
    if (end.number() > endedNumber(end.part())) {
      ended.put(end.part(), new Ended(end.number(), now));
    }
    Entry entry = quarantined.get(end.part());
    if (entry != null && entry.number <= end.number()) {
      release(end.part(), "another instance ended it");
    }
  }

  private void survivalReceived(PeerMessage.PartSurvival survival, long now) {
    String part = survival.part();
    long at = now - survival.ageMilliseconds();
    attribution.survived(part, at);
    sharedSurvivals.merge(part, at, Math::max);
    suspected.remove(part);
    if (quarantined.containsKey(part) && attribution.isSound(part, now)) {
      acquit(part, now);
      share(List.of(part));
    }
  }

  /** Ends the quarantine of a part that a runner has survived. */
  private void acquit(String part, long now) {
    sharedSurvivals.put(part, now);
    Entry entry = quarantined.get(part);
    if (entry != null) {
      ended.put(part, new Ended(Math.max(entry.number, endedNumber(part)), now));
      release(part, "a runner survived it");
      records.delete(part);
    }
  }

  private void release(String part, String cause) {
    Entry entry = quarantined.remove(part);
    LOGGER.warn("part={} quarantined=false number={} cause=\"{}\"", part, entry.number, cause);
  }

  private int endedNumber(String part) {
    Ended last = ended.get(part);
    return last == null ? 0 : last.number();
  }

  /** Shares that runners have survived parts, and that the quarantines of these are over. */
  private void share(Collection<String> parts) {
    if (parts.isEmpty()) {
      return;
    }
    long now = clock.getAsLong();
    List<PeerMessage.PartSurvival> survivals = new ArrayList<>();
    for (String part : parts) {
      long at = attribution.lastSurvival(part).orElse(now);
      survivals.add(new PeerMessage.PartSurvival(part, Math.max(0, now - at)));
    }
    fleet.broadcast(
        new PeerMessage.CrashEvidence(List.of(), survivals, List.of(), endedAmong(parts)));
  }

  private List<PeerMessage.EndedQuarantine> endedAmong(Collection<String> parts) {
    return parts.stream()
        .filter(ended::containsKey)
        .map(part -> new PeerMessage.EndedQuarantine(part, ended.get(part).number()))
        .toList();
  }

  /** Sends what is known to a random instance, ends quarantines, and reads the store if needed. */
  void exchange(long now) {
    endExpired(now);
    forgetOld(now);
    quarantined.forEach(this::saveInTurn);
    if (!loaded) {
      load();
    }
    List<Instance> others =
        fleet.answering().stream().filter(each -> !each.id().equals(fleet.self().id())).toList();
    boolean nothing = quarantined.isEmpty() && recent.isEmpty() && ended.isEmpty();
    if (nothing || others.isEmpty()) {
      return;
    }
    fleet.send(others.get(random.applyAsInt(others.size())), evidence(now));
  }

  private PeerMessage.CrashEvidence evidence(long now) {
    List<PeerMessage.RunnerCrash> crashes = new ArrayList<>();
    recent.forEach((crash, each) -> crashes.add(message(crash, each, now)));
    List<PeerMessage.QuarantinedPart> parts = new ArrayList<>();
    quarantined.forEach((part, entry) -> parts.add(message(part, entry, now)));
    return new PeerMessage.CrashEvidence(crashes, List.of(), parts, endedAmong(ended.keySet()));
  }

  private static PeerMessage.RunnerCrash message(
      CrashAttribution.Crash crash, RecentCrash known, long now) {
    return new PeerMessage.RunnerCrash(
        crash.runner(),
        crash.startTimeMilliseconds(),
        Math.max(0, now - known.at()),
        known.positions());
  }

  private static PeerMessage.QuarantinedPart message(String part, Entry entry, long now) {
    return new PeerMessage.QuarantinedPart(
        part, entry.number, Math.max(0, entry.until - now), entry.stored);
  }

  private void record(CrashAttribution.Crash crash, Map<String, Integer> positions, long at) {
    attribution.crashed(crash, positions, at);
    Map<String, Integer> all = new HashMap<>(positions);
    RecentCrash known = recent.get(crash);
    if (known != null) {
      known.positions().forEach((part, position) -> all.merge(part, position, Math::max));
    }
    recent.put(crash, new RecentCrash(known == null ? at : Math.min(known.at(), at), all));
    positions.keySet().stream()
        .filter(part -> !attribution.isSound(part, at))
        .filter(part -> !quarantined.containsKey(part))
        .forEach(suspected::add);
    if (!evaluationScheduled) {
      evaluationScheduled = true;
      timers.after(SETTLE_MILLISECONDS, this::evaluate);
    }
  }

  private void shareSurvivals(Collection<String> parts, long crashAt) {
    long now = clock.getAsLong();
    List<String> news = new ArrayList<>();
    for (String part : parts) {
      Long shared = sharedSurvivals.get(part);
      boolean known = shared != null && crashAt - shared <= CrashAttribution.SOUND_MILLISECONDS;
      if (attribution.isSound(part, crashAt) && !known) {
        sharedSurvivals.put(part, attribution.lastSurvival(part).orElse(now));
        news.add(part);
      }
    }
    share(news);
  }

  private void evaluate() {
    evaluationScheduled = false;
    for (String part : attribution.culprits(quarantined.keySet())) {
      Quarantined culprit = new Quarantined(part, endedNumber(part) + 1, DURATION_MILLISECONDS);
      adopt(culprit, false, "crashes " + attribution.crashesOf(part));
      announce(part, quarantined.get(part));
    }
  }

  /** Stores a quarantine unless another instance has done so or is to do so first. */
  private void saveInTurn(String part, Entry entry) {
    long now = clock.getAsLong();
    boolean turn = now - entry.adoptedAt >= SAVE_TURN_MILLISECONDS * rank();
    if (entry.stored || entry.saving || !turn) {
      return;
    }
    entry.saving = true;
    records
        .save(new Quarantined(part, entry.number, Math.max(0, entry.until - now)))
        .whenComplete(
            (done, failure) -> {
              entry.saving = false;
              entry.stored = failure == null;
              LOGGER.info(
                  "part={} number={} stored={} failure=\"{}\"",
                  part,
                  entry.number,
                  entry.stored,
                  failure == null ? "" : failure.getMessage());
              if (entry.stored && quarantined.get(part) == entry) {
                announce(part, entry);
              }
            });
  }

  private void announce(String part, Entry entry) {
    fleet.broadcast(
        new PeerMessage.CrashEvidence(
            List.of(), List.of(), List.of(message(part, entry, clock.getAsLong())), List.of()));
  }

  private int rank() {
    List<String> ids = fleet.answering().stream().map(Instance::id).sorted().toList();
    return ids.indexOf(fleet.self().id());
  }

  private void adopt(Quarantined culprit, boolean stored, String cause) {
    long now = clock.getAsLong();
    String part = culprit.part();
    Entry before = quarantined.get(part);
    if (before != null && before.number == culprit.number()) {
      before.stored |= stored;
    }
    boolean over = culprit.number() <= endedNumber(part) || culprit.remainingMilliseconds() <= 0;
    if (over || (before != null && before.number >= culprit.number())) {
      return;
    }
    long remaining = Math.min(DURATION_MILLISECONDS, culprit.remainingMilliseconds());
    Entry entry = new Entry(culprit.number(), now + remaining, now, stored);
    quarantined.put(part, entry);
    suspected.remove(part);
    saveInTurn(part, entry);
    if (before == null) {
      LOGGER.warn(
          "part={} quarantined=true number={} cause=\"{}\" for_ms={}",
          part,
          culprit.number(),
          cause,
          remaining);
      onQuarantined.accept(part);
    }
  }

  private void endExpired(long now) {
    for (String part : List.copyOf(quarantined.keySet())) {
      Entry entry = quarantined.get(part);
      if (entry.until <= now) {
        ended.put(part, new Ended(entry.number, now));
        release(part, "time is over");
        if (rank() == 0) {
          records.delete(part);
        }
      }
    }
  }

  private void forgetOld(long now) {
    recent.values().removeIf(crash -> now - crash.at() > EXCHANGED_EVIDENCE_MILLISECONDS);
    ended.values().removeIf(each -> now - each.at() > DURATION_MILLISECONDS);
    sharedSurvivals.values().removeIf(at -> now - at > DURATION_MILLISECONDS);
    if (recent.isEmpty()) {
      suspected.retainAll(attribution.suspects());
    }
  }

  /** Reads the store if suspects are still unexplained, since other instances may be cut off. */
  private void checkStore(Collection<String> suspects) {
    boolean explained = suspects.stream().anyMatch(quarantined::containsKey);
    boolean sound = suspects.stream().noneMatch(suspected::contains);
    if (!explained && !sound && clock.getAsLong() - lastLoadAt >= LOAD_INTERVAL_MILLISECONDS) {
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
    boolean known = quarantined.containsKey(part.part());
    adopt(part, true, "store");
    Entry entry = quarantined.get(part.part());
    if (!known && entry != null) {
      announce(part.part(), entry);
    }
  }
}
