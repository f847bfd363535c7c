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
 * quarantined here, this instance starts no request with it at a runner. Confined to one event
 * loop.
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
  // The second instance stores a quarantine, too, in case the first has ended.
  private static final long SECOND_SAVE_MILLISECONDS = 3_000;

  private final LongSupplier clock;
  private final Timers timers;
  private final Fleet fleet;
  private final Records records;
  private final IntUnaryOperator random;
  private final Consumer<String> onQuarantined;
  private final CrashAttribution attribution = new CrashAttribution();
  private final Map<String, Entry> quarantined = new HashMap<>();
  private final Map<String, Long> releasedAt = new HashMap<>();
  private final Map<CrashAttribution.Crash, PeerMessage.RunnerCrash> recent = new HashMap<>();
  private final Map<CrashAttribution.Crash, Long> recentAt = new HashMap<>();
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
    void save(String part, long ageMilliseconds, long remainingMilliseconds);

    void delete(String part);

    /** Tries failed calls again. */
    void retry();

    /** Reads the parts whose quarantine has not ended. */
    CompletableFuture<List<Quarantined>> load();
  }

  /**
   * A quarantined part. Immutable.
   *
   * @param ageMilliseconds how long ago its quarantine began
   * @param remainingMilliseconds the time until its quarantine ends
   */
  record Quarantined(String part, long ageMilliseconds, long remainingMilliseconds) {}

  private record Entry(long since, long until) {}

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
        .filter(entry -> entry != null && entry.until() > clock.getAsLong())
        .mapToLong(Entry::until)
        .max();
  }

  /**
   * Records a crash that this instance noticed.
   *
   * @param parts the shared parts of the prompts that were lost before their responses had begun
   */
  void crashed(RunnerEntry runner, Set<String> parts) {
    long now = clock.getAsLong();
    List<String> suspects =
        parts.stream().filter(part -> !attribution.isSound(part, now)).sorted().toList();
    if (suspects.isEmpty()) {
      return;
    }
    CrashAttribution.Crash crash =
        new CrashAttribution.Crash(runner.id(), runner.startTimeMilliseconds());
    record(crash, suspects, now);
    fleet.broadcast(
        new PeerMessage.CrashEvidence(List.of(recent.get(crash)), List.of(), List.of()));
    timers.after(CHECK_AFTER_CRASH_MILLISECONDS, () -> checkStore(suspects));
  }

  /** Records that a runner has begun a response on parts and continued to run. */
  void survived(Collection<String> parts) {
    long now = clock.getAsLong();
    List<PeerMessage.PartSurvival> news = new ArrayList<>();
    for (String part : parts) {
      attribution.survived(part, now);
      boolean suspect = suspected.remove(part);
      boolean released = release(part, now);
      if (suspect || released) {
        sharedSurvivals.put(part, now);
        news.add(new PeerMessage.PartSurvival(part, 0));
      }
      if (released) {
        records.delete(part);
      }
    }
    if (!news.isEmpty()) {
      fleet.broadcast(new PeerMessage.CrashEvidence(List.of(), news, List.of()));
    }
  }

  /** Applies what another instance knows. */
  void evidenceReceived(PeerMessage.CrashEvidence evidence) {
    long now = clock.getAsLong();
    for (PeerMessage.PartSurvival survival : evidence.survivals()) {
      long at = now - survival.ageMilliseconds();
      attribution.survived(survival.part(), at);
      sharedSurvivals.merge(survival.part(), at, Math::max);
      suspected.remove(survival.part());
      release(survival.part(), at);
    }
    for (PeerMessage.RunnerCrash crash : evidence.crashes()) {
      long at = now - crash.ageMilliseconds();
      record(
          new CrashAttribution.Crash(crash.runner(), crash.startTimeMilliseconds()),
          crash.parts(),
          at);
      // Several instances may know that a part is sound; the first reply spares the others.
      timers.after(
          random.applyAsInt(MAXIMUM_REPLY_DELAY_MILLISECONDS),
          () -> shareSurvivals(crash.parts(), at));
    }
    for (PeerMessage.QuarantinedPart part : evidence.quarantined()) {
      adopt(
          part.part(),
          now - part.ageMilliseconds(),
          now + Math.min(DURATION_MILLISECONDS, part.remainingMilliseconds()),
          "peer");
    }
  }

  /** Sends what is known to a random instance, ends quarantines, and reads the store if needed. */
  void exchange(long now) {
    endExpired(now);
    forgetOld(now);
    records.retry();
    if (!loaded) {
      load();
    }
    List<Instance> others =
        fleet.answering().stream().filter(each -> !each.id().equals(fleet.self().id())).toList();
    boolean nothing = quarantined.isEmpty() && recent.isEmpty() && releasedAt.isEmpty();
    if (nothing || others.isEmpty()) {
      return;
    }
    fleet.send(others.get(random.applyAsInt(others.size())), evidence(now));
  }

  private PeerMessage.CrashEvidence evidence(long now) {
    List<PeerMessage.RunnerCrash> crashes = new ArrayList<>();
    recent.forEach(
        (crash, message) ->
            crashes.add(
                new PeerMessage.RunnerCrash(
                    crash.runner(),
                    crash.startTimeMilliseconds(),
                    Math.max(0, now - recentAt.get(crash)),
                    message.parts())));
    List<PeerMessage.PartSurvival> survivals = new ArrayList<>();
    releasedAt.forEach(
        (part, at) -> survivals.add(new PeerMessage.PartSurvival(part, Math.max(0, now - at))));
    List<PeerMessage.QuarantinedPart> parts = new ArrayList<>();
    quarantined.forEach((part, entry) -> parts.add(message(part, entry, now)));
    return new PeerMessage.CrashEvidence(crashes, survivals, parts);
  }

  private static PeerMessage.QuarantinedPart message(String part, Entry entry, long now) {
    return new PeerMessage.QuarantinedPart(
        part, Math.max(0, now - entry.since()), Math.max(0, entry.until() - now));
  }

  private void record(CrashAttribution.Crash crash, Collection<String> parts, long at) {
    Set<String> all = new HashSet<>(parts);
    PeerMessage.RunnerCrash known = recent.get(crash);
    if (known != null) {
      all.addAll(known.parts());
    }
    attribution.crashed(crash, parts, at);
    recentAt.merge(crash, at, Math::min);
    recent.put(
        crash,
        new PeerMessage.RunnerCrash(
            crash.runner(),
            crash.startTimeMilliseconds(),
            Math.max(0, clock.getAsLong() - at),
            List.copyOf(all)));
    parts.stream()
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
    List<PeerMessage.PartSurvival> news = new ArrayList<>();
    for (String part : parts) {
      Long shared = sharedSurvivals.get(part);
      boolean known = shared != null && crashAt - shared <= CrashAttribution.SOUND_MILLISECONDS;
      if (attribution.isSound(part, crashAt) && !known) {
        long at = attribution.lastSurvival(part).orElse(now);
        sharedSurvivals.put(part, at);
        news.add(new PeerMessage.PartSurvival(part, Math.max(0, now - at)));
      }
    }
    if (!news.isEmpty()) {
      fleet.broadcast(new PeerMessage.CrashEvidence(List.of(), news, List.of()));
    }
  }

  private void evaluate() {
    evaluationScheduled = false;
    long now = clock.getAsLong();
    List<PeerMessage.QuarantinedPart> news = new ArrayList<>();
    for (String part : attribution.culprits(quarantined.keySet())) {
      adopt(part, now, now + DURATION_MILLISECONDS, "crashes " + attribution.crashesOf(part));
      Entry entry = quarantined.get(part);
      if (entry != null) {
        news.add(message(part, entry, now));
        save(part);
      }
    }
    if (!news.isEmpty()) {
      fleet.broadcast(new PeerMessage.CrashEvidence(List.of(), List.of(), news));
    }
  }

  /** Stores a quarantine if this is one of the two instances that do. */
  private void save(String part) {
    int rank = rank();
    if (rank == 0) {
      store(part);
    } else if (rank == 1) {
      timers.after(SECOND_SAVE_MILLISECONDS, () -> store(part));
    }
  }

  private void store(String part) {
    Entry entry = quarantined.get(part);
    if (entry != null) {
      long now = clock.getAsLong();
      records.save(part, now - entry.since(), Math.max(0, entry.until() - now));
    }
  }

  private int rank() {
    List<String> ids = fleet.answering().stream().map(Instance::id).sorted().toList();
    return ids.indexOf(fleet.self().id());
  }

  private void adopt(String part, long since, long until, String cause) {
    boolean survivedSince =
        attribution.lastSurvival(part).filter(survival -> survival > since).isPresent();
    if (survivedSince || until <= clock.getAsLong()) {
      return;
    }
    Entry before = quarantined.get(part);
    if (before != null) {
      quarantined.put(
          part, new Entry(Math.max(before.since(), since), Math.max(before.until(), until)));
      return;
    }
    quarantined.put(part, new Entry(since, until));
    suspected.remove(part);
    releasedAt.remove(part);
    LOGGER.warn(
        "part={} quarantined=true cause=\"{}\" age_ms={} for_ms={}",
        part,
        cause,
        clock.getAsLong() - since,
        until - clock.getAsLong());
    onQuarantined.accept(part);
  }

  /** Ends the quarantine of a part that a runner survived after it had begun. */
  private boolean release(String part, long at) {
    Entry entry = quarantined.get(part);
    if (entry == null || at <= entry.since()) {
      return false;
    }
    quarantined.remove(part);
    releasedAt.put(part, at);
    LOGGER.warn("part={} quarantined=false cause=\"a runner survived it\"", part);
    return true;
  }

  private void endExpired(long now) {
    for (String part : List.copyOf(quarantined.keySet())) {
      if (quarantined.get(part).until() <= now) {
        quarantined.remove(part);
        LOGGER.warn("part={} quarantined=false cause=\"time is over\"", part);
        if (rank() == 0) {
          records.delete(part);
        }
      }
    }
  }

  private void forgetOld(long now) {
    recentAt.values().removeIf(at -> now - at > EXCHANGED_EVIDENCE_MILLISECONDS);
    recent.keySet().retainAll(recentAt.keySet());
    releasedAt.values().removeIf(at -> now - at > DURATION_MILLISECONDS);
    sharedSurvivals.values().removeIf(at -> now - at > DURATION_MILLISECONDS);
    if (recent.isEmpty()) {
      suspected.retainAll(attribution.suspects());
    }
  }

  /** Reads the store if suspects are still unexplained, since other instances may be cut off. */
  private void checkStore(List<String> suspects) {
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
    long now = clock.getAsLong();
    long remaining = Math.min(DURATION_MILLISECONDS, part.remainingMilliseconds());
    boolean known = quarantined.containsKey(part.part());
    adopt(part.part(), now - part.ageMilliseconds(), now + remaining, "store");
    Entry entry = quarantined.get(part.part());
    if (!known && entry != null) {
      fleet.broadcast(
          new PeerMessage.CrashEvidence(
              List.of(), List.of(), List.of(message(part.part(), entry, now))));
    }
  }
}
