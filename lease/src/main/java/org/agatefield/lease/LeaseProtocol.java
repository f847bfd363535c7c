package org.agatefield.lease;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides how a process acquires, renews and releases a lease by conditional writes.
 *
 * <p>Invariants, as long as rates of monotonic clocks differ by at most the stated drift and the
 * object is never deleted:
 *
 * <ul>
 *   <li>two grants to different holders never overlap in real time: a holder trusts its grant for
 *       less than the duration from <em>before</em> its write was sent, a challenger waits for more
 *       than the duration from when it <em>saw</em> the last write, and its conditional write fails
 *       if another came between;
 *   <li>a grant to another holder than before, and one after a lapse, has a larger fencing token
 *       than every grant before.
 * </ul>
 *
 * <p>No wall clock and no clock of another process is used. Immutable and safe for use by any
 * thread.
 */
public final class LeaseProtocol {
  private static final long FIRST_TOKEN = 1;

  private final String holder;
  private final LeaseTerms terms;
  private final Predicate<String> dead;

  /**
   * Creates the protocol of one process.
   *
   * @param holder unique to the process, not empty
   */
  public LeaseProtocol(String holder, LeaseTerms terms) {
    this(holder, terms, other -> false);
  }

  /**
   * Creates the protocol of one process that knows of some holders that they have ended.
   *
   * @param holder unique to the process, not empty
   * @param dead true only for holders that are proved to have ended and will never act again
   */
  public LeaseProtocol(String holder, LeaseTerms terms, Predicate<String> dead) {
    if (holder.isEmpty()) {
      throw new IllegalArgumentException("holder: must not be empty");
    }
    this.holder = holder;
    this.terms = terms;
    this.dead = dead;
  }

  /**
   * Takes in what a read showed.
   *
   * @param nowNanoseconds monotonic time after the read's answer came
   */
  public LeaseState observe(
      LeaseState state, String version, LeaseRecord lease, long nowNanoseconds) {
    boolean unchanged = state.observed().filter(seen -> seen.version().equals(version)).isPresent();
    if (unchanged) {
      return state;
    }
    return new LeaseState(
        Optional.of(new LeaseState.Observation(version, lease, nowNanoseconds)), state.grant());
  }

  /** Takes in that a read showed no lease. */
  public LeaseState observeAbsent(LeaseState state) {
    return new LeaseState(Optional.empty(), state.grant());
  }

  /** Returns what to do now, given an up-to-date observation. */
  public LeaseDecision decide(LeaseState state, long nowNanoseconds) {
    if (state.observed().isEmpty()) {
      return new LeaseDecision.Create(record(FIRST_TOKEN));
    }
    LeaseState.Observation seen = state.observed().get();
    LeaseRecord lease = seen.lease();
    if (lease.holder().equals(holder)) {
      long token =
          state.grantAt(nowNanoseconds).isPresent()
              ? lease.fencingToken()
              : lease.fencingToken() + 1;
      return new LeaseDecision.Update(seen.version(), record(token));
    }
    long waited = nowNanoseconds - seen.unchangedSinceNanoseconds();
    long patience = terms.takeoverWaitNanoseconds(lease.durationNanoseconds());
    boolean mayStillAct = !lease.holder().isEmpty() && !dead.test(lease.holder());
    if (mayStillAct && waited < patience) {
      return new LeaseDecision.Wait(patience - waited);
    }
    return new LeaseDecision.Update(seen.version(), record(lease.fencingToken() + 1));
  }

  /**
   * Takes in that a write of this process is known to have taken effect.
   *
   * @param sentAtNanoseconds monotonic time before the write was sent
   * @param nowNanoseconds monotonic time after its answer came
   */
  public LeaseState recordWrite(
      LeaseRecord lease, String version, long sentAtNanoseconds, long nowNanoseconds) {
    LeaseGrant grant =
        new LeaseGrant(lease.fencingToken(), sentAtNanoseconds + terms.grantValidityNanoseconds());
    return new LeaseState(
        Optional.of(new LeaseState.Observation(version, lease, nowNanoseconds)),
        Optional.of(grant));
  }

  /**
   * Returns the write that gives the lease up, if this process is its holder as far as it knows.
   * The caller stops acting on the grant before it writes.
   */
  public Optional<LeaseDecision.Update> release(LeaseState state) {
    return state
        .observed()
        .filter(seen -> seen.lease().holder().equals(holder))
        .map(seen -> new LeaseDecision.Update(seen.version(), seen.lease().released()));
  }

  /** Returns how long to wait after a write until the next renewal. */
  public long renewIntervalNanoseconds() {
    return terms.renewIntervalNanoseconds();
  }

  private LeaseRecord record(long token) {
    return new LeaseRecord(holder, token, terms.durationNanoseconds());
  }
}
