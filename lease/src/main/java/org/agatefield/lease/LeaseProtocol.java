package org.agatefield.lease;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides how a process acquires, renews and releases a lease by conditional writes.
 *
 * <p>Invariants, as long as the rates of monotonic clocks differ by at most the configured drift
 * and the lease object is never deleted:
 *
 * <ul>
 *   <li>Grants to different holders never overlap in real time. A holder uses its grant for less
 *       than the duration, counted from <em>before</em> it sent the write. A challenger waits for
 *       more than the duration, counted from when it <em>observed</em> the last write, and its
 *       conditional write fails if there was another write in between.
 *   <li>A grant to a new holder, or after a grant expired, has a larger fencing token than every
 *       earlier grant.
 * </ul>
 *
 * <p>Uses neither wall clocks nor clocks of other processes. Immutable and thread-safe.
 */
public final class LeaseProtocol {
  private static final long FIRST_TOKEN = 1;

  private final String holder;
  private final LeaseTerms terms;
  private final Predicate<String> dead;

  /**
   * Creates the protocol for one process.
   *
   * @param holder unique to the process, not empty
   */
  public LeaseProtocol(String holder, LeaseTerms terms) {
    this(holder, terms, other -> false);
  }

  /**
   * Creates the protocol for one process, which need not wait for holders that are proved dead.
   *
   * @param holder unique to the process, not empty
   * @param dead returns true only for holders that are proved to have ended and will never act
   *     again
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
   * Records the lease that a read returned.
   *
   * @param nowNanoseconds monotonic time after the response to the read arrived
   */
  public LeaseState observe(
      LeaseState state, String version, LeaseRecord lease, long nowNanoseconds) {
    boolean unchanged =
        state.observed().filter(observed -> observed.version().equals(version)).isPresent();
    if (unchanged) {
      return state;
    }
    return new LeaseState(
        Optional.of(new LeaseState.Observation(version, lease, nowNanoseconds)), state.grant());
  }

  /** Records that a read found no lease. */
  public LeaseState observeAbsent(LeaseState state) {
    return new LeaseState(Optional.empty(), state.grant());
  }

  /** Returns the next action, given an up-to-date observation. */
  public LeaseDecision decide(LeaseState state, long nowNanoseconds) {
    if (state.observed().isEmpty()) {
      return new LeaseDecision.Create(record(FIRST_TOKEN));
    }
    LeaseState.Observation observed = state.observed().get();
    LeaseRecord lease = observed.lease();
    if (lease.holder().equals(holder)) {
      long token =
          state.grantAt(nowNanoseconds).isPresent()
              ? lease.fencingToken()
              : lease.fencingToken() + 1;
      return new LeaseDecision.Update(observed.version(), record(token));
    }
    long waited = nowNanoseconds - observed.unchangedSinceNanoseconds();
    long takeoverWait = terms.takeoverWaitNanoseconds(lease.durationNanoseconds());
    boolean holderMayAct = !lease.holder().isEmpty() && !dead.test(lease.holder());
    if (holderMayAct && waited < takeoverWait) {
      return new LeaseDecision.Wait(takeoverWait - waited);
    }
    return new LeaseDecision.Update(observed.version(), record(lease.fencingToken() + 1));
  }

  /**
   * Records a write of this process that is confirmed to have taken effect.
   *
   * @param sentAtNanoseconds monotonic time before the write was sent
   * @param nowNanoseconds monotonic time after its confirmation arrived
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
   * Returns the write that releases the lease, if the last observation names this process as
   * holder. The caller must stop using the grant before it writes.
   */
  public Optional<LeaseDecision.Update> release(LeaseState state) {
    return state
        .observed()
        .filter(observed -> observed.lease().holder().equals(holder))
        .map(observed -> new LeaseDecision.Update(observed.version(), observed.lease().released()));
  }

  /** Returns the time from a write to the next renewal. */
  public long renewIntervalNanoseconds() {
    return terms.renewIntervalNanoseconds();
  }

  private LeaseRecord record(long token) {
    return new LeaseRecord(holder, token, terms.durationNanoseconds());
  }
}
