package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * An object returned by the store. Immutable as long as {@code content} is not modified.
 *
 * @param key the object's key
 * @param resourceVersion the store's version of the object, only to be compared for equality
 * @param writeIdentifiers identifiers of the writes that made the object, newest first, at most 16
 * @param content the object's content, without metadata
 */
public record StoredObject(
    ObjectKey key, String resourceVersion, List<String> writeIdentifiers, JsonNode content) {
  /** Copies the list. */
  public StoredObject {
    writeIdentifiers = List.copyOf(writeIdentifiers);
  }
}
