package org.agatefield.membership;

import java.util.List;
import org.agatefield.model.Address;

/** What happens to a member. */
public sealed interface MembershipEvent {
  /** Time passed; comes once every {@link MembershipSettings#tickMilliseconds()}. */
  record Tick() implements MembershipEvent {}

  /**
   * A message came. Immutable.
   *
   * @param message the message, whose sender is where an answer goes
   */
  record Received(MembershipMessage message) implements MembershipEvent {}

  /**
   * The addresses that may belong to members, in place of the earlier ones. Immutable.
   *
   * @param addresses from the settings and from the platform's list
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

  /** The application has news that travels with the messages of the next gossip rounds. */
  record GossipRequested() implements MembershipEvent {}

  /** This member takes no more new work. */
  record LeaveRequested() implements MembershipEvent {}
}
