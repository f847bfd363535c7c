package org.agatefield.membership;

import org.agatefield.model.Instance;

/**
 * An update about one member, as exchanged between members. Immutable.
 *
 * @param instance the member, with the state that it last reported
 * @param incarnation incremented only by the member itself when it changes its state or refutes a
 *     suspicion; the update with the higher incarnation wins
 * @param liveness the liveness of the member in the sender's view
 */
public record MemberUpdate(Instance instance, long incarnation, Liveness liveness) {
  /** Returns the member's identifier. */
  public String id() {
    return instance.id();
  }
}
