package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * An object as the store returned it. Immutable as long as nobody changes {@code content}.
 *
 * @param key the identity
 * @param resourceVersion the store's version of the object, opaque but for equality
 * @param writeIdentifiers identifiers of the writes that made the object, newest first, at most 16
 * @param content the object's own part
 */
public record StoredObject(
    ObjectKey key, String resourceVersion, List<String> writeIdentifiers, JsonNode content) {
  /** Copies the list. */
  public StoredObject {
    writeIdentifiers = List.copyOf(writeIdentifiers);
  }
}
