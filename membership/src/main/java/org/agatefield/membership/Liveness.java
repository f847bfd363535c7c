package org.agatefield.membership;

/** Liveness of a member as another one sees it; at equal incarnations, later constants win. */
public enum Liveness {
  /** It responds to probes. */
  ALIVE,
  /** It did not respond to a probe and has not yet refuted the suspicion. */
  SUSPECT,
  /** It was suspected and did not refute the suspicion in time. */
  DEAD
}
