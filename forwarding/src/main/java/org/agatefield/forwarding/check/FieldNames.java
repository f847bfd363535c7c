package org.agatefield.forwarding.check;

/** Names the fields as the operator writes them. Implementations are stateless. */
public interface FieldNames {
  /** Returns the name of a field within its entry. */
  String name(Field field);

  /**
   * Returns a value of a field; values that are words of the product may be written differently.
   */
  default String value(Field field, String value) {
    return value;
  }

  /** Returns the path of a field of an entry. */
  default String path(Located<?> entry, Field field) {
    return entry.path() + "." + name(field);
  }
}
