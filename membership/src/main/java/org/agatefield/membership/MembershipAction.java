package org.agatefield.membership;

import org.agatefield.model.Address;
import org.agatefield.model.Instance;

/** An action that a member must take. */
public sealed interface MembershipAction {
  /**
   * Send a message; it may be lost. Immutable.
   *
   * @param address the receiver
   * @param message the message
   */
  record Send(Address address, MembershipMessage message) implements MembershipAction {}

  /**
   * Report that the liveness or state of a member changed in this member's view. Immutable.
   *
   * @param update the new view of the member
   */
  record MemberChanged(MemberUpdate update) implements MembershipAction {}

  /**
   * Report that another member has a higher configuration generation. Immutable.
   *
   * @param holder the instance that has it
   * @param generation the generation
   */
  record GenerationObserved(Instance holder, long generation) implements MembershipAction {}
}
