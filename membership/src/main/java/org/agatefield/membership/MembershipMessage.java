package org.agatefield.membership;

import java.util.List;
import org.agatefield.model.Address;

/**
 * A message between members. Immutable.
 *
 * @param sender the sender's own entry
 * @param generation the highest configuration generation that the sender has
 * @param updates updates about members, their number limited by the settings
 * @param body the purpose of the message
 */
public record MembershipMessage(
    MemberUpdate sender, long generation, List<MemberUpdate> updates, Body body) {
  /** Copies the list. */
  public MembershipMessage {
    updates = List.copyOf(updates);
  }

  /** The purpose of a message, with its data. */
  public sealed interface Body
      permits Probe, Acknowledgement, IndirectProbe, Gossip, StateRequest, StateAnswer {}

  /**
   * Asks the target to acknowledge. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member that must answer; another process at the same
   *     address must not
   */
  public record Probe(long sequence, String target) implements Body {}

  /**
   * Answers a probe or an indirect probe. Immutable.
   *
   * @param sequence the sequence of the answered probe
   * @param reached false if a relay got no answer from the target
   */
  public record Acknowledgement(long sequence, boolean reached) implements Body {}

  /**
   * Asks a relay to probe the target. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member to probe
   * @param address the target's address
   */
  public record IndirectProbe(long sequence, String target, Address address) implements Body {}

  /** Spreads updates without further data. Immutable. */
  public record Gossip() implements Body {}

  /**
   * Starts or continues an exchange of complete member tables, one page at a time; the updates of
   * the message are the sender's page. Immutable.
   *
   * @param afterId the page starts with the first identifier above this one
   * @param lastPage whether the sender has no member above its page
   * @param tableHash the hash of the sender's table; nothing is exchanged if the receiver's is
   *     equal
   */
  public record StateRequest(String afterId, boolean lastPage, long tableHash) implements Body {}

  /**
   * Answers a state request with the receiver's page. Immutable.
   *
   * @param nextAfterId the identifier after which the next page starts; meaningful only if {@code
   *     more}
   * @param more whether the exchange continues
   */
  public record StateAnswer(String nextAfterId, boolean more) implements Body {}
}
