package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Defines the paths, bodies, failures and watches of an object API.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
public interface StoreDialect {
  /** Returns the path for listing a kind and creating its objects. */
  String kindPath(ObjectKind kind);

  /** Returns the path of a page of at most {@code limit} objects. */
  String pagePath(ObjectKind kind, int limit, Optional<String> continueToken);

  /** Returns the path of the page after one read with {@link #kindPath}. */
  String nextPagePath(ObjectKind kind, String continueToken);

  /** Returns the path for reading and replacing an object. */
  String objectPath(ObjectKey key);

  /** Returns the path of a conditional delete. */
  String deletePath(StoredObject previous);

  /** Returns the body of a create. */
  Buffer encodeNew(ObjectKey key, String writeIdentifier, JsonNode content);

  /** Returns the body of a conditional update. */
  Buffer encodeUpdate(StoredObject previous, String writeIdentifier, JsonNode content);

  /** Returns the body of a conditional delete. */
  Buffer encodeDelete(StoredObject previous);

  /** Decodes an object; empty if {@code root} is not an object of the store. */
  Optional<StoredObject> decodeObject(ObjectKind kind, JsonNode root);

  /** Decodes a page of a list; empty if {@code root} is not a page. */
  Optional<ObjectPage> decodePage(ObjectKind kind, JsonNode root);

  /** Returns the limits of what is read of the contents of a kind. */
  default ContentLimits contentLimits(ObjectKind kind) {
    return ContentLimits.ORDINARY;
  }

  /**
   * Returns the failure for a response status and body.
   *
   * @param body the response body; a missing node if it is not JSON
   */
  StoreFailure failureOf(boolean write, int status, JsonNode body);

  /** Returns the era that the headers of a response name; empty if they name none. */
  OptionalLong era(MultiMap headers);

  /** Starts a watch, which ends when the result is closed. */
  AutoCloseable watch(WatchCall call);
}
