package org.agatefield.model;

/** The order in which waiting work is served and excess work is refused; later ones go first. */
public enum Priority {
  /** Work that may wait. */
  BATCH,
  /** The default. */
  STANDARD,
  /** A person is waiting. */
  INTERACTIVE
}
