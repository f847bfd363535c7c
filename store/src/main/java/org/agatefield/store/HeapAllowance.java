package org.agatefield.store;

/**
 * Counts the bytes on the heap that a JSON tree takes, before its nodes are created.
 *
 * <p>The counts are those of a virtual machine with compressed references; a growing list is
 * counted with its spare capacity. Invariant: once the allowance is exceeded nothing more is
 * granted. Confined to one thread.
 */
final class HeapAllowance {
  private static final int OBJECT_BYTES = 24 + 56 + 80; // node, map and the map's first table
  private static final int FIELD_BYTES = 40 + 16 + 24 + 16; // map entry, table slots and its name
  private static final int ARRAY_BYTES = 24 + 24 + 56; // node, list and the list's first array
  private static final int ELEMENT_BYTES = 8;
  private static final int SCALAR_BYTES = 24;
  private static final int TEXT_BYTES = 16 + 24 + 16; // node, text and the text's array
  private static final int BYTES_PER_CHARACTER = 2;

  private long remaining;

  HeapAllowance(long bytes) {
    remaining = bytes;
  }

  boolean takeObject() {
    return take(OBJECT_BYTES);
  }

  boolean takeField(String name) {
    return take(FIELD_BYTES + (long) name.length() * BYTES_PER_CHARACTER);
  }

  boolean takeArray() {
    return take(ARRAY_BYTES);
  }

  boolean takeElement() {
    return take(ELEMENT_BYTES);
  }

  boolean takeScalar() {
    return take(SCALAR_BYTES);
  }

  boolean takeText(int length) {
    return take(TEXT_BYTES + (long) length * BYTES_PER_CHARACTER);
  }

  /** Takes bytes; returns whether the allowance sufficed. */
  boolean take(long bytes) {
    if (remaining < bytes) {
      remaining = -1;
      return false;
    }
    remaining -= bytes;
    return true;
  }

  boolean exceeded() {
    return remaining < 0;
  }

  long remaining() {
    return Math.max(0, remaining);
  }
}
