package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/** Implements the Kubernetes API conventions. Stateless and safe for use by any thread. */
final class KubernetesDialect implements StoreDialect {
  private static final String BASE_PATH = "/apis/agatefield.org/v1/namespaces/default/";
  private static final ContentLimits INSTANCE_LIMITS =
      ContentLimits.OF_OTHER_WRITERS.ofFields(StoreInstanceList.FIELDS);
  private static final String ERA_HEADER = "Store-Era";

  @Override
  public String kindPath(ObjectKind kind) {
    return BASE_PATH + kind.plural();
  }

  @Override
  public String pagePath(ObjectKind kind, int limit, Optional<String> continueToken) {
    String next = continueToken.map(token -> "&continue=" + encode(token)).orElse("");
    return kindPath(kind) + "?limit=" + limit + next;
  }

  @Override
  public String nextPagePath(ObjectKind kind, String continueToken) {
    return kindPath(kind) + "?continue=" + encode(continueToken);
  }

  @Override
  public String objectPath(ObjectKey key) {
    return kindPath(key.kind()) + "/" + encode(key.name());
  }

  @Override
  public String deletePath(StoredObject previous) {
    return objectPath(previous.key());
  }

  @Override
  public Buffer encodeNew(ObjectKey key, String writeIdentifier, JsonNode content) {
    return ObjectCodec.encodeNew(key, writeIdentifier, content);
  }

  @Override
  public Buffer encodeUpdate(StoredObject previous, String writeIdentifier, JsonNode content) {
    return ObjectCodec.encodeUpdate(previous, writeIdentifier, content);
  }

  @Override
  public Buffer encodeDelete(StoredObject previous) {
    return ObjectCodec.encodeDelete(previous);
  }

  @Override
  public Optional<StoredObject> decodeObject(ObjectKind kind, JsonNode root) {
    return ObjectCodec.decode(kind, root);
  }

  @Override
  public Optional<ObjectPage> decodePage(ObjectKind kind, JsonNode root) {
    return ObjectCodec.decodePage(kind, root);
  }

  @Override
  public ContentLimits contentLimits(ObjectKind kind) {
    return kind == ObjectKind.INSTANCE ? INSTANCE_LIMITS : ContentLimits.ORDINARY;
  }

  @Override
  public StoreFailure failureOf(boolean write, int status, JsonNode body) {
    return StatusTable.failureOf(write, status, body.path("reason").asText());
  }

  @Override
  public OptionalLong era(MultiMap headers) {
    return EraHeader.parse(headers, ERA_HEADER);
  }

  @Override
  public AutoCloseable watch(WatchCall call) {
    String query =
        "?watch=true&allowWatchBookmarks=true&resourceVersion=" + encode(call.fromVersion());
    return HttpWatch.start(
        call,
        contentLimits(call.kind()),
        call.options().apply(HttpMethod.GET, kindPath(call.kind()) + query));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
