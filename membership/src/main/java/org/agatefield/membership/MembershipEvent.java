package org.agatefield.membership;

import java.util.List;
import org.agatefield.model.Address;

/** An event that a member handles. */
public sealed interface MembershipEvent {
  /** The clock tick, every {@link MembershipSettings#tickMilliseconds()}. */
  record Tick() implements MembershipEvent {}

  /**
   * A message was received. Immutable.
   *
   * @param message the message; answers go to its sender
   */
  record Received(MembershipMessage message) implements MembershipEvent {}

  /**
   * The addresses that may belong to members changed. Immutable.
   *
   * @param addresses all addresses from the settings and from the platform's list
   */
  record SeedsChanged(List<Address> addresses) implements MembershipEvent {
    /** Copies the list. */
    public SeedsChanged {
      addresses = List.copyOf(addresses);
    }
  }

  /**
   * This member has a higher configuration generation. Immutable.
   *
   * @param generation the generation
   */
  record GenerationRaised(long generation) implements MembershipEvent {}

  /** The application has data to send with the messages of the next gossip rounds. */
  record GossipRequested() implements MembershipEvent {}

  /** This member accepts no new requests from now on. */
  record LeaveRequested() implements MembershipEvent {}
}
