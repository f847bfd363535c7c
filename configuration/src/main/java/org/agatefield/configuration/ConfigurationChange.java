package org.agatefield.configuration;

/**
 * One difference between two documents. Immutable.
 *
 * @param kind whether the part was added, removed or replaced
 * @param path the part by name, such as {@code deployments/quotes} or {@code weightStore}
 * @param before the part's JSON before; empty if it was added
 * @param after the part's JSON after; empty if it was removed
 */
public record ConfigurationChange(Kind kind, String path, String before, String after) {
  /** What happened to a part. */
  public enum Kind {
    /** The part is new. */
    ADDED,
    /** The part is gone. */
    REMOVED,
    /** The part differs. */
    REPLACED
  }

  @Override
  public String toString() {
    return switch (kind) {
      case ADDED -> "+ " + path + ": " + after;
      case REMOVED -> "- " + path + ": " + before;
      case REPLACED -> "~ " + path + ": " + before + " -> " + after;
    };
  }
}
