package org.agatefield.membership;

import org.agatefield.model.Address;
import org.agatefield.model.Instance;

/** What a member must do. */
public sealed interface MembershipAction {
  /**
   * Send a message; it may be lost. Immutable.
   *
   * @param address where to
   * @param message the message
   */
  record Send(Address address, MembershipMessage message) implements MembershipAction {}

  /**
   * A member's liveness or state changed in this member's view. Immutable.
   *
   * @param update what is now believed
   */
  record MemberChanged(MemberUpdate update) implements MembershipAction {}

  /**
   * Another member has a higher configuration generation. Immutable.
   *
   * @param holder who has it
   * @param generation the generation
   */
  record GenerationObserved(Instance holder, long generation) implements MembershipAction {}
}
