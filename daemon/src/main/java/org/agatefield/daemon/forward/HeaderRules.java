package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which headers are passed on. Immutable and safe for use by any thread. */
final class HeaderRules {
  // RFC 9110, section 7.6.1, and the framing, which each connection chooses for itself.
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private final Set<String> reserved;

  /**
   * Creates the rules.
   *
   * @param reserved headers, in lower case, that are never passed on from a caller
   */
  HeaderRules(Set<String> reserved) {
    this.reserved = Set.copyOf(reserved);
  }

  /** Returns what of a caller's headers is passed on to a runner. */
  MultiMap forRunner(MultiMap headers) {
    MultiMap passed = withoutConnection(headers);
    reserved.forEach(passed::remove);
    return passed;
  }

  /** Copies what of a runner's headers is passed on to the caller. */
  void forCaller(MultiMap headers, MultiMap target) {
    target.addAll(withoutConnection(headers));
  }

  private static MultiMap withoutConnection(MultiMap headers) {
    Set<String> dropped = new HashSet<>(CONNECTION_HEADERS);
    for (String named : headers.getAll(HttpHeaders.CONNECTION)) {
      for (String name : named.split(",")) {
        dropped.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    MultiMap passed = MultiMap.caseInsensitiveMultiMap();
    for (Map.Entry<String, String> header : headers) {
      if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        passed.add(header.getKey(), header.getValue());
      }
    }
    return passed;
  }
}
