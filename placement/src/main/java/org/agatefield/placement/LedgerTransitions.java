package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.agatefield.model.VersionId;

/**
 * The changes that a ledger may undergo; the caller writes each by a conditional update before it
 * sends an order. Has no state.
 *
 * <p>Every method fails with {@link IllegalStateException} if the change would break an invariant
 * of the ledger.
 */
public final class LedgerTransitions {
  /** Order tokens of one lease grant; the grant's own token stands above these bits. */
  private static final int SEQUENCE_BITS = 24;

  private LedgerTransitions() {}

  /** Returns the ledger as taken over by the planner with that lease token. */
  public static RunnerLedger takeOver(RunnerLedger ledger, long memoryMegabytes, long leaseToken) {
    require(leaseToken >= ledger.plannerToken(), ledger, "a later planner has taken over");
    return new RunnerLedger(
        ledger.upstream(),
        memoryMegabytes,
        leaseToken,
        ledger.highestToken(),
        ledger.bootIdentifier(),
        ledger.entries());
  }

  /**
   * Records a new start of the engine, which holds nothing that was loaded before; what served is
   * to be loaded again.
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
   * <p>A version that was retired here takes over the adapters that may still arrive.
   */
  public static RunnerLedger reserve(
      RunnerLedger ledger,
      VersionId version,
      long memoryMegabytes,
      List<AdapterReservation> adapters) {
    LedgerEntry earlier =
        ledger.entry(version).orElse(newEntry(version, memoryMegabytes, adapters));
    require(earlier.state() == LedgerState.RETIRED, ledger, version + " is there already");
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

  /** Returns the memory that {@link #reserve} takes for a version. */
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

  /** Gives the version a new order to load it, because the engine lost it or refused the last. */
  public static RunnerLedger renewLoadOrder(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(
        entry.state() == LedgerState.LOADING || entry.isLoaded(), ledger, version + " is going");
    long token = nextToken(ledger);
    LedgerEntry loading = entry.withOrder(LedgerState.LOADING, token);
    return withHighestToken(replace(ledger, loading), token);
  }

  /** Stops new requests to the version. */
  public static RunnerLedger drain(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.SERVING, ledger, version + " does not serve");
    return replace(ledger, entry.withState(LedgerState.DRAINING));
  }

  /** Gives the version requests again; no order to unload it was sent. */
  public static RunnerLedger resumeServing(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.DRAINING, ledger, version + " is not draining");
    return replace(ledger, entry.withState(LedgerState.SERVING));
  }

  /** Begins to unload a version, or gives a new order to unload it. */
  public static RunnerLedger unload(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() != LedgerState.SERVING, ledger, version + " still serves");
    require(entry.state() != LedgerState.RETIRED, ledger, version + " is not there");
    long token = nextToken(ledger);
    LedgerEntry unloading = entry.withOrder(LedgerState.UNLOADING, token);
    return withHighestToken(replace(ledger, unloading), token);
  }

  /** Counts a version that the engine holds although the ledger has no entry that says so. */
  public static RunnerLedger adopt(RunnerLedger ledger, VersionId version, long memoryMegabytes) {
    require(
        ledger.entry(version).map(each -> each.state() == LedgerState.RETIRED).orElse(true),
        ledger,
        version + " is there already");
    long token = nextToken(ledger);
    LedgerEntry entry =
        ledger
            .entry(version)
            .orElse(newEntry(version, memoryMegabytes, List.of()))
            .withOrder(LedgerState.UNLOADING, token);
    return withHighestToken(replace(ledger, entry), token);
  }

  /** Gives back the memory of a version; the caller has the evidence that it is safe. */
  public static RunnerLedger release(RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = existing(ledger, version);
    require(entry.state() == LedgerState.UNLOADING, ledger, version + " is not being unloaded");
    return replace(ledger, entry.withState(LedgerState.RETIRED));
  }

  /** Forgets a retired version, after no order about it can arrive any more. */
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
            () -> new IllegalStateException(ledger.upstream() + ": no entry of " + version));
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
