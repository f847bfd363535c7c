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

  /**
   * Reads contents beside which other writers may keep any: a page of them, some five hundred, fits
   * into one response, however large they are.
   */
  public static final ContentLimits OF_OTHER_WRITERS = new ContentLimits(49_152, Optional.empty());

  /** Copies the set. */
  public ContentLimits {
    fields = fields.map(Set::copyOf);
  }

  /** Returns these limits with the given fields as the only ones that are read. */
  public ContentLimits ofFields(Set<String> only) {
    return new ContentLimits(heapBytes, Optional.of(only));
  }

  boolean reads(String field) {
    return fields.isEmpty() || fields.get().contains(field);
  }
}
