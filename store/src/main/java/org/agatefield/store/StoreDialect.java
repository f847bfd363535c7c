package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * How an object API spells its paths, bodies, failures and watches.
 *
 * <p>Implementations hold no state and are safe for use by any thread.
 */
public interface StoreDialect {
  /** Returns the path that lists a kind and creates its objects. */
  String kindPath(ObjectKind kind);

  /** Returns the path of a page of at most {@code limit} objects. */
  String pagePath(ObjectKind kind, int limit, Optional<String> continueToken);

  /** Returns the path of the page after one that was read with {@link #kindPath}. */
  String nextPagePath(ObjectKind kind, String continueToken);

  /** Returns the path that reads and replaces an object. */
  String objectPath(ObjectKey key);

  /** Returns the path of a conditional delete. */
  String deletePath(StoredObject previous);

  /** Returns the body of a create. */
  Buffer encodeNew(ObjectKey key, String writeIdentifier, JsonNode content);

  /** Returns the body of a conditional update. */
  Buffer encodeUpdate(StoredObject previous, String writeIdentifier, JsonNode content);

  /** Returns the body of a conditional delete. */
  Buffer encodeDelete(StoredObject previous);

  /** Reads an object; empty if {@code root} is none. */
  Optional<StoredObject> decodeObject(ObjectKind kind, JsonNode root);

  /** Reads a page of a list; empty if {@code root} is none. */
  Optional<ObjectPage> decodePage(ObjectKind kind, JsonNode root);

  /**
   * Returns why a call failed.
   *
   * @param body the answer's body; missing if it is no JSON
   */
  StoreFailure failureOf(boolean write, int status, JsonNode body);

  /** Starts a watch; closing the result ends it. */
  AutoCloseable watch(WatchCall call);
}
