package org.agatefield.membership;

import org.agatefield.model.Instance;

/**
 * A statement about one member, as it travels. Immutable.
 *
 * @param instance the member, with the state that it last said of itself
 * @param incarnation raised by the member alone, whenever it changes its state or refutes a
 *     suspicion; the statement with the higher one holds
 * @param liveness what is believed of it
 */
public record MemberUpdate(Instance instance, long incarnation, Liveness liveness) {
  /** Returns the member's identifier. */
  public String id() {
    return instance.id();
  }
}
