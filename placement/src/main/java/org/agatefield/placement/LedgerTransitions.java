package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.agatefield.model.VersionId;

/**
 * Computes the permitted changes of a ledger. The caller stores each change by a conditional update
 * before it sends the order. Stateless.
 *
 * <p>Every method throws {@link IllegalStateException} if the change would break an invariant of
 * the ledger.
 */
public final class LedgerTransitions {
  /** Bits that number the orders of one lease grant; the grant's token takes the higher bits. */
  private static final int SEQUENCE_BITS = 24;

  /** Bits of a grant's token below the era of the store in which it was granted. */
  private static final int GRANT_BITS = 32;

  private static final long FIRST_ERA = 1;

  private LedgerTransitions() {}

  /** Returns the era of the store in which a lease token was granted; 0 if the store names none. */
  public static long eraOf(long leaseToken) {
    return leaseToken >> GRANT_BITS;
  }

  /**
   * Returns whether no order that the store has forgotten can take effect any more. A ledger of an
   * earlier era of the store, or none, may be an older copy that lacks orders that were sent.
   */
  public static boolean isSettled(RunnerLedger ledger) {
    long era = eraOf(ledger.plannerToken());
    return era <= FIRST_ERA || ledger.highestToken() >= era << (GRANT_BITS + SEQUENCE_BITS);
  }

  /** Returns the token that is above those of all orders of earlier planners. */
  static long settlingToken(RunnerLedger ledger) {
    return ledger.plannerToken() << SEQUENCE_BITS;
  }

  /** Records proof that no forgotten order can take effect any more. */
  static RunnerLedger settle(RunnerLedger ledger) {
    return withHighestToken(ledger, Math.max(ledger.highestToken(), settlingToken(ledger)));
  }

  /** Assigns the ledger to the planner with that lease token. */
  public static RunnerLedger takeOver(RunnerLedger ledger, long memoryMegabytes, long leaseToken) {
    require(
        leaseToken >= ledger.plannerToken(),
        ledger,
        "a planner with a higher token has taken over");
    return new RunnerLedger(
        ledger.upstream(),
        memoryMegabytes,
        leaseToken,
        ledger.highestToken(),
        ledger.bootIdentifier(),
        ledger.entries());
  }

  /**
   * Records a restart of the engine, which lost everything that was loaded; loaded versions return
   * to {@link LedgerState#LOADING}.
   */
  public static RunnerLedger restarted(RunnerLedger ledger, String bootIdentifier) {
    List<LedgerEntry> entries = new ArrayList<>();
    for (LedgerEntry entry : ledger.entries()) {
      entries.add(entry.isLoaded() ? entry.withState(LedgerState.LOADING) : entry);
    }
    return new RunnerLedger(
        ledger.upstream(),
        ledger.memoryMegabytes(),
        ledger.plannerToken(),
        ledger.highestToken(),
        bootIdentifier,
        entries);
  }

  /**
   * Reserves memory for a version, with a token for the order to load it.
   *
   * <p>A retired entry's adapters are included, as orders to load them may still arrive.
   */
  public static RunnerLedger reserve(
      RunnerLedger ledger,
      VersionId version,
      long memoryMegabytes,
      List<AdapterReservation> adapters) {
    LedgerEntry earlier =
        ledger.entry(version).orElse(newEntry(version, memoryMegabytes, adapters));
    require(earlier.state() == LedgerState.RETIRED, ledger, version + " already has an entry");
    long token = nextToken(ledger);
    LedgerEntry entry =
        earlier
            .withReservation(
                Math.max(earlier.memoryMegabytes(), memoryMegabytes),
                union(earlier.adapters(), adapters))
            .withOrder(LedgerState.LOADING, token);
    require(
        entry.replicaMegabytes() <= ledger.freeMegabytes(),
        ledger,
        version + " needs " + entry.replicaMegabytes() + " MB of " + ledger.freeMegabytes());
    return withHighestToken(replace(ledger, entry), token);
  }

  /** Returns the memory that {@link #reserve} would reserve for a version. */
  public static long reservationMegabytes(
      RunnerLedger ledger,
      VersionId version,
      long memoryMegabytes,
      List<AdapterReservation> adapters) {
    LedgerEntry earlier =
        ledger.entry(version).orElse(newEntry(version, memoryMegabytes, adapters));
    return earlier
        .withReservation(
            Math.max(earlier.memoryMegabytes(), memoryMegabytes),
            union(earlier.adapters(), adapters))
        .replicaMegabytes();
  }

  /** Reserves memory for further adapters beside a version. */
  public static RunnerLedger reserveAdapters(
      RunnerLedger ledger, VersionId version, List<AdapterReservation> adapters) {
    LedgerEntry entry = existing(ledger, version);
    LedgerEntry grown =
        entry.withReservation(entry.memoryMegabytes(), union(entry.adapters(), adapters));
    long growth = grown.reservedMegabytes() - entry.reservedMegabytes();
    require(growth <= ledger.freeMegabytes(), ledger, version + ": adapters need " + growth);
    return replace(ledger, grown);
  }

  /** Records that the engine reported the version loaded. */
  public static RunnerLedger loaded(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.LOADING, ledger, version + " is not being loaded");
    return replace(ledger, entry.withState(LedgerState.SERVING));
  }

  /** Issues a new load order, because the engine lost the version or refused the last order. */
  public static RunnerLedger renewLoadOrder(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(
        entry.state() == LedgerState.LOADING || entry.isLoaded(),
        ledger,
        version + " is being unloaded");
    long token = nextToken(ledger);
    LedgerEntry loading = entry.withOrder(LedgerState.LOADING, token);
    return withHighestToken(replace(ledger, loading), token);
  }

  /** Starts to drain the version, so that it gets no new requests. */
  public static RunnerLedger drain(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.SERVING, ledger, version + " does not serve");
    return replace(ledger, entry.withState(LedgerState.DRAINING));
  }

  /** Ends the draining of a version; no unload order was sent. */
  public static RunnerLedger resumeServing(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.DRAINING, ledger, version + " is not draining");
    return replace(ledger, entry.withState(LedgerState.SERVING));
  }

  /** Starts to unload a version, or issues a new unload order. */
  public static RunnerLedger unload(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() != LedgerState.SERVING, ledger, version + " still serves");
    require(entry.state() != LedgerState.RETIRED, ledger, version + " is retired");
    long token = nextToken(ledger);
    LedgerEntry unloading = entry.withOrder(LedgerState.UNLOADING, token);
    return withHighestToken(replace(ledger, unloading), token);
  }

  /** Adds an entry for a version that the engine holds without one, to be unloaded. */
  public static RunnerLedger adopt(RunnerLedger ledger, VersionId version, long memoryMegabytes) {
    require(
        ledger.entry(version).map(each -> each.state() == LedgerState.RETIRED).orElse(true),
        ledger,
        version + " already has an entry");
    long token = nextToken(ledger);
    LedgerEntry entry =
        ledger
            .entry(version)
            .orElse(newEntry(version, memoryMegabytes, List.of()))
            .withOrder(LedgerState.UNLOADING, token);
    return withHighestToken(replace(ledger, entry), token);
  }

  /** Releases the memory of a version; the caller has proof that the engine no longer uses it. */
  public static RunnerLedger release(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.UNLOADING, ledger, version + " is not being unloaded");
    return replace(ledger, entry.withState(LedgerState.RETIRED));
  }

  /** Removes a retired version once no order for it can arrive any more. */
  public static RunnerLedger forget(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.RETIRED, ledger, version + " is not retired");
    return remove(ledger, version);
  }

  private static long nextToken(RunnerLedger ledger) {
    return Math.max(ledger.highestToken() + 1, ledger.plannerToken() << SEQUENCE_BITS);
  }

  private static LedgerEntry newEntry(
      VersionId version, long memoryMegabytes, List<AdapterReservation> adapters) {
    return new LedgerEntry(version, memoryMegabytes, adapters, LedgerState.RETIRED, 0);
  }

  private static List<AdapterReservation> union(
      List<AdapterReservation> first, List<AdapterReservation> second) {
    TreeMap<String, Long> sizes = new TreeMap<>();
    first.forEach(each -> sizes.merge(each.name(), each.memoryMegabytes(), Math::max));
    second.forEach(each -> sizes.merge(each.name(), each.memoryMegabytes(), Math::max));
    List<AdapterReservation> union = new ArrayList<>();
    sizes.forEach((name, megabytes) -> union.add(new AdapterReservation(name, megabytes)));
    return union;
  }

  private static LedgerEntry existing(RunnerLedger ledger, VersionId version) {
    return ledger
        .entry(version)
        .orElseThrow(
            () -> new IllegalStateException(ledger.upstream() + ": no entry for " + version));
  }

  private static RunnerLedger replace(RunnerLedger ledger, LedgerEntry entry) {
    List<LedgerEntry> entries = new ArrayList<>(ledger.entries());
    entries.removeIf(each -> each.version().equals(entry.version()));
    entries.add(entry);
    return withEntries(ledger, entries);
  }

  private static RunnerLedger remove(RunnerLedger ledger, VersionId version) {
    List<LedgerEntry> entries = new ArrayList<>(ledger.entries());
    entries.removeIf(each -> each.version().equals(version));
    return withEntries(ledger, entries);
  }

  private static RunnerLedger withEntries(RunnerLedger ledger, List<LedgerEntry> entries) {
    return new RunnerLedger(
        ledger.upstream(),
        ledger.memoryMegabytes(),
        ledger.plannerToken(),
        ledger.highestToken(),
        ledger.bootIdentifier(),
        entries);
  }

  private static RunnerLedger withHighestToken(RunnerLedger ledger, long token) {
    return new RunnerLedger(
        ledger.upstream(),
        ledger.memoryMegabytes(),
        ledger.plannerToken(),
        token,
        ledger.bootIdentifier(),
        ledger.entries());
  }

  private static void require(boolean holds, RunnerLedger ledger, String reason) {
    if (!holds) {
      throw new IllegalStateException(ledger.upstream() + ": " + reason);
    }
  }
}
