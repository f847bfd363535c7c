package org.agatefield.membership;

import java.util.List;
import org.agatefield.model.Address;

/**
 * A message between members. Immutable.
 *
 * @param sender what the sender says of itself
 * @param generation the highest configuration generation that the sender has
 * @param updates statements about members, bounded by the settings
 * @param body what the message is for
 */
public record MembershipMessage(
    MemberUpdate sender, long generation, List<MemberUpdate> updates, Body body) {
  /** Copies the list. */
  public MembershipMessage {
    updates = List.copyOf(updates);
  }

  /** What a message is for. */
  public sealed interface Body
      permits Probe, Acknowledgement, IndirectProbe, Gossip, StateRequest, StateAnswer {}

  /**
   * Asks the target to acknowledge. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member that should answer; another process at the same
   *     address must not
   */
  public record Probe(long sequence, String target) implements Body {}

  /**
   * Answers a probe or an indirect probe. Immutable.
   *
   * @param sequence the sequence of the probe that is answered
   * @param reached false if a relay got no answer from the target
   */
  public record Acknowledgement(long sequence, boolean reached) implements Body {}

  /**
   * Asks a relay to probe the target. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member to probe
   * @param address where the target listens
   */
  public record IndirectProbe(long sequence, String target, Address address) implements Body {}

  /** Carries only what every message carries. Immutable. */
  public record Gossip() implements Body {}

  /**
   * Begins or continues an exchange of whole member tables, a page at a time; the updates of the
   * message are the sender's page. Immutable.
   *
   * @param afterId the page starts with the first identifier above this one
   * @param lastPage whether the sender has no member above its page
   * @param tableHash the hash of the sender's table; if it is the receiver's, nothing is exchanged
   */
  public record StateRequest(String afterId, boolean lastPage, long tableHash) implements Body {}

  /**
   * Answers a state request with the receiver's page. Immutable.
   *
   * @param nextAfterId where the next page starts; meaningful only if {@code more}
   * @param more whether the exchange goes on
   */
  public record StateAnswer(String nextAfterId, boolean more) implements Body {}
}
