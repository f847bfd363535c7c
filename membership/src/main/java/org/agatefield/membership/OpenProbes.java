package org.agatefield.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.Address;

/**
 * Tracks this member's own open probe and the probes that it relays for others.
 *
 * <p>Invariant: at most one own probe is open, and at most the given number of relayed ones. Not
 * thread-safe.
 */
final class OpenProbes {
  private final Map<Long, RelayedProbe> relays = new HashMap<>();
  private long lastSequence;
  private OwnProbe own;

  /** This member's own open probe. */
  static final class OwnProbe {
    private final long sequence;
    private final MemberUpdate target;
    private long relayDeadline;
    private long deadline;
    private boolean indirect;
    private int relayAnswers;
    private int relayCount;

    private OwnProbe(long sequence, MemberUpdate target, long relayDeadline, long deadline) {
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

    /** Returns whether some relays sent neither an acknowledgement nor a failure. */
    boolean hasSilentRelays() {
      return relayAnswers < relayCount;
    }
  }

  /**
   * A probe relayed for another member. Immutable.
   *
   * @param requester the address to which the acknowledgement is sent
   * @param requestSequence the requester's sequence
   * @param deadline time at which the requester is notified that the target did not respond
   */
  record RelayedProbe(Address requester, long requestSequence, long deadline) {}

  OwnProbe open(MemberUpdate target, long relayDeadline, long deadline) {
    lastSequence++;
    own = new OwnProbe(lastSequence, target, relayDeadline, deadline);
    return own;
  }

  /** Returns the own probe, once, when it is due to be sent via relays. */
  Optional<OwnProbe> relaysDue(long now) {
    if (own == null || own.indirect || own.relayDeadline > now) {
      return Optional.empty();
    }
    own.indirect = true;
    return Optional.of(own);
  }

  void setRelayCount(int count) {
    own.relayCount = count;
  }

  /** Closes and returns the own probe if it has failed. */
  Optional<OwnProbe> failed(long now) {
    if (own == null || own.deadline > now) {
      return Optional.empty();
    }
    OwnProbe failed = own;
    own = null;
    return Optional.of(failed);
  }

  /** Closes the own probe if {@code sequence} is its sequence and the target was reached. */
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
  Optional<Long> relay(RelayedProbe relay, int maximum) {
    if (relays.size() >= maximum) {
      return Optional.empty();
    }
    lastSequence++;
    relays.put(lastSequence, relay);
    return Optional.of(lastSequence);
  }

  Optional<RelayedProbe> relayAcknowledged(long sequence) {
    return Optional.ofNullable(relays.remove(sequence));
  }

  List<RelayedProbe> failedRelays(long now) {
    List<RelayedProbe> failed = new ArrayList<>();
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

  /** Drops all open probes after this process was paused. */
  void reset() {
    own = null;
    relays.clear();
  }
}
