package org.agatefield.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.Address;

/**
 * The probe of this interval and the probes that this member relays for others.
 *
 * <p>Invariant: at most one own probe is open, and at most the given number of relayed ones. Not
 * safe for use by several threads.
 */
final class OpenProbes {
  private final Map<Long, Relay> relays = new HashMap<>();
  private long lastSequence;
  private Own own;

  /** This member's own open probe. */
  static final class Own {
    private final long sequence;
    private final MemberUpdate target;
    private long relayDeadline;
    private long deadline;
    private boolean relaysAsked;
    private int relayAnswers;
    private int relayCount;

    private Own(long sequence, MemberUpdate target, long relayDeadline, long deadline) {
      this.sequence = sequence;
      this.target = target;
      this.relayDeadline = relayDeadline;
      this.deadline = deadline;
    }

    long sequence() {
      return sequence;
    }

    MemberUpdate target() {
      return target;
    }

    /** Returns whether relays were asked and some did not even say that they failed. */
    boolean relaysMissing() {
      return relayAnswers < relayCount;
    }
  }

  /**
   * A probe made for another member. Immutable.
   *
   * @param requester where the acknowledgement goes
   * @param requestSequence the requester's sequence
   * @param deadline when the requester is told that the target did not answer
   */
  record Relay(Address requester, long requestSequence, long deadline) {}

  Own open(MemberUpdate target, long relayDeadline, long deadline) {
    lastSequence++;
    own = new Own(lastSequence, target, relayDeadline, deadline);
    return own;
  }

  /** Returns the own probe if it is time to ask relays, once. */
  Optional<Own> relaysDue(long now) {
    if (own == null || own.relaysAsked || own.relayDeadline > now) {
      return Optional.empty();
    }
    own.relaysAsked = true;
    return Optional.of(own);
  }

  void relaysAsked(int count) {
    own.relayCount = count;
  }

  /** Closes and returns the own probe if it has failed. */
  Optional<Own> failed(long now) {
    if (own == null || own.deadline > now) {
      return Optional.empty();
    }
    Own failed = own;
    own = null;
    return Optional.of(failed);
  }

  /** Closes the own probe if {@code sequence} is its sequence and it was reached. */
  boolean acknowledged(long sequence, boolean reached) {
    if (own == null || own.sequence != sequence) {
      return false;
    }
    if (!reached) {
      own.relayAnswers++;
      return false;
    }
    own = null;
    return true;
  }

  /** Opens a relayed probe and returns its sequence; empty if too many are open. */
  Optional<Long> relay(Relay relay, int maximum) {
    if (relays.size() >= maximum) {
      return Optional.empty();
    }
    lastSequence++;
    relays.put(lastSequence, relay);
    return Optional.of(lastSequence);
  }

  Optional<Relay> relayAcknowledged(long sequence) {
    return Optional.ofNullable(relays.remove(sequence));
  }

  List<Relay> failedRelays(long now) {
    List<Relay> failed = new ArrayList<>();
    relays
        .values()
        .removeIf(
            relay -> {
              if (relay.deadline() > now) {
                return false;
              }
              failed.add(relay);
              return true;
            });
    return failed;
  }

  /** Drops everything that is open, after this process stood still. */
  void reset() {
    own = null;
    relays.clear();
  }
}
