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
 * <p>Both hold also if the store comes back from an older copy in a new era. The copy says nothing
 * of grants that it has forgotten, so a lease that was not written in the store's present era, and
 * the absence of one, are waited out like a live holder's; only the holder of a valid grant writes
 * at once. A write that was prepared in an earlier era grants nothing, and its token shows that.
 *
 * <p>Uses neither wall clocks nor clocks of other processes. Immutable and thread-safe.
 */
public final class LeaseProtocol {
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
      LeaseState state, LeaseVersion version, LeaseRecord lease, long nowNanoseconds) {
    return observe(state, version, Optional.of(lease), nowNanoseconds);
  }

  private static LeaseState observe(
      LeaseState state, LeaseVersion version, Optional<LeaseRecord> lease, long now) {
    boolean unchanged =
        state.observed().filter(observed -> observed.version().equals(version)).isPresent();
    if (unchanged) {
      return state;
    }
    return new LeaseState(
        Optional.of(new LeaseState.Observation(version, lease, now)), state.grant());
  }

  /**
   * Records that a read found no lease.
   *
   * @param era the store's era
   * @param nowNanoseconds monotonic time after the response to the read arrived
   */
  public LeaseState observeAbsent(LeaseState state, long era, long nowNanoseconds) {
    return observe(state, new LeaseVersion("", era, 0), Optional.empty(), nowNanoseconds);
  }

  /** Returns the next action, given an up-to-date observation. */
  public LeaseDecision decide(LeaseState state, long nowNanoseconds) {
    if (state.observed().isEmpty()) {
      return new LeaseDecision.Wait(0);
    }
    LeaseState.Observation observed = state.observed().get();
    Optional<LeaseGrant> grant = state.grantAt(nowNanoseconds);
    if (grant.isPresent() && !isLaterThan(grant.get(), observed)) {
      return write(observed, renewedToken(observed, grant.get()));
    }
    long waited = nowNanoseconds - observed.unchangedSinceNanoseconds();
    long remaining = waitNanoseconds(observed) - waited;
    return remaining > 0 ? new LeaseDecision.Wait(remaining) : write(observed, nextToken(observed));
  }

  /** Returns whether the lease was granted to another process after a grant to this one. */
  private boolean isLaterThan(LeaseGrant grant, LeaseState.Observation observed) {
    return observed
        .lease()
        .filter(lease -> !lease.holder().equals(holder))
        .filter(lease -> lease.fencingToken() > grant.fencingToken())
        .isPresent();
  }

  private long renewedToken(LeaseState.Observation observed, LeaseGrant grant) {
    boolean unchanged =
        grant.fencingToken() >= observed.version().firstToken()
            && observed
                .lease()
                .filter(lease -> lease.holder().equals(holder))
                .filter(lease -> lease.fencingToken() == grant.fencingToken())
                .isPresent();
    return unchanged
        ? grant.fencingToken()
        : Math.max(grant.fencingToken() + 1, nextToken(observed));
  }

  private long nextToken(LeaseState.Observation observed) {
    long next =
        observed.lease().map(lease -> lease.fencingToken() + 1).orElse(LeaseGrant.FIRST_TOKEN);
    long first = observed.version().firstToken() + LeaseGrant.FIRST_TOKEN;
    return Math.max(Math.max(first, observed.version().minimumToken()), next);
  }

  /** Returns how long an observation must stay unchanged before the lease can be taken over. */
  private long waitNanoseconds(LeaseState.Observation observed) {
    if (observed.lease().isEmpty()) {
      boolean neverOlder = observed.version().era() == 0;
      return neverOlder ? 0 : terms.takeoverWaitNanoseconds(terms.durationNanoseconds());
    }
    LeaseRecord lease = observed.lease().get();
    boolean ofThisEra = lease.fencingToken() >= observed.version().firstToken();
    boolean holderMayAct =
        !lease.holder().isEmpty() && !lease.holder().equals(holder) && !dead.test(lease.holder());
    return ofThisEra && !holderMayAct
        ? 0
        : terms.takeoverWaitNanoseconds(lease.durationNanoseconds());
  }

  private LeaseDecision write(LeaseState.Observation observed, long token) {
    return observed.lease().isPresent()
        ? new LeaseDecision.Update(observed.version(), record(token))
        : new LeaseDecision.Create(record(token));
  }

  /**
   * Records a write of this process that is confirmed to have taken effect. It grants nothing if
   * the store has come back older since the write was prepared.
   *
   * @param sentAtNanoseconds monotonic time before the write was sent
   * @param nowNanoseconds monotonic time after its confirmation arrived
   */
  public LeaseState recordWrite(
      LeaseState state,
      LeaseRecord lease,
      LeaseVersion version,
      long sentAtNanoseconds,
      long nowNanoseconds) {
    LeaseState.Observation written =
        new LeaseState.Observation(version, Optional.of(lease), nowNanoseconds);
    if (lease.fencingToken() < version.firstToken()) {
      return new LeaseState(Optional.of(written), state.grant());
    }
    LeaseGrant grant =
        new LeaseGrant(lease.fencingToken(), sentAtNanoseconds + terms.grantValidityNanoseconds());
    return new LeaseState(Optional.of(written), Optional.of(grant));
  }

  /**
   * Returns the write that releases the lease, if the last observation names this process as
   * holder. The caller must stop using the grant before it writes.
   */
  public Optional<LeaseDecision.Update> release(LeaseState state) {
    return state
        .observed()
        .filter(
            observed -> observed.lease().filter(lease -> lease.holder().equals(holder)).isPresent())
        .map(
            observed ->
                new LeaseDecision.Update(
                    observed.version(), observed.lease().orElseThrow().released()));
  }

  /** Returns the time from a write to the next renewal. */
  public long renewIntervalNanoseconds() {
    return terms.renewIntervalNanoseconds();
  }

  private LeaseRecord record(long token) {
    return new LeaseRecord(holder, token, terms.durationNanoseconds());
  }
}
