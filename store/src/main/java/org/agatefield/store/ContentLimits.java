package org.agatefield.store;

import java.util.Optional;
import java.util.Set;

/**
 * Limits what is read of the contents of one kind of objects. Immutable.
 *
 * @param heapBytes the bytes on the heap that the tree of one content may take
 * @param fields the fields of a content that are read; empty if all are
 */
public record ContentLimits(long heapBytes, Optional<Set<String>> fields) {
  /** Reads all fields of contents of any size that the store accepts in ordinary use. */
  public static final ContentLimits ORDINARY = new ContentLimits(16 * 1_048_576, Optional.empty());

  /** Copies the set. */
  public ContentLimits {
    fields = fields.map(Set::copyOf);
  }

  /** Returns limits under which only the given fields are read. */
  public static ContentLimits ofFields(long heapBytes, Set<String> fields) {
    return new ContentLimits(heapBytes, Optional.of(fields));
  }

  boolean reads(String field) {
    return fields.isEmpty() || fields.get().contains(field);
  }
}
