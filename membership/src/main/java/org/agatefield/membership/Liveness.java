package org.agatefield.membership;

/** What a member believes of another; at the same incarnation, later constants go before. */
public enum Liveness {
  /** It answers. */
  ALIVE,
  /** It did not answer a probe and has not yet refuted that. */
  SUSPECT,
  /** It was suspected and did not refute that in time. */
  DEAD
}
