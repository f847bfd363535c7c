package org.agatefield.configuration;

/**
 * A difference between two documents. Immutable.
 *
 * @param kind whether the element was added, removed or replaced
 * @param path the element's path by name, such as {@code deployments/quotes} or {@code weightStore}
 * @param before the element's earlier JSON; empty if it was added
 * @param after the element's later JSON; empty if it was removed
 */
public record ConfigurationChange(Kind kind, String path, String before, String after) {
  /** The kind of a change. */
  public enum Kind {
    /** The element is new. */
    ADDED,
    /** The element was removed. */
    REMOVED,
    /** The element has changed. */
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
