package org.agatefield.forwarding.check;

import java.util.List;

/**
 * A difference between two configurations. Immutable.
 *
 * @param kind whether the entry was added, removed or changed
 * @param path the entry by kind and name, such as {@code route/checkout}
 * @param details the fields that differ, with keys as digests only
 * @param effects what the change does to requests
 */
public record ForwardingChange(Kind kind, String path, List<String> details, List<String> effects) {
  /** The kind of a change. */
  public enum Kind {
    /** The entry is new. */
    ADDED,
    /** The entry was removed. */
    REMOVED,
    /** The entry has changed. */
    CHANGED
  }

  /** Copies the lists. */
  public ForwardingChange {
    details = List.copyOf(details);
    effects = List.copyOf(effects);
  }
}
