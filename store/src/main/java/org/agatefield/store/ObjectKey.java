package org.agatefield.store;

/**
 * Identifies an object. Immutable.
 *
 * @param kind the kind
 * @param name unique within the kind; lower-case letters, digits, dots and hyphens
 */
public record ObjectKey(ObjectKind kind, String name) {
  @Override
  public String toString() {
    return kind.plural() + "/" + name;
  }
}
