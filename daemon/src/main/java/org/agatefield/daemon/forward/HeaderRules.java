package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Determines which headers are forwarded. Immutable and safe for use by any thread. */
final class HeaderRules {
  // Hop-by-hop headers of RFC 9110, section 7.6.1, and framing headers, which each connection sets
  // itself.
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
   * @param reserved lower-case names of headers that are never forwarded from a caller
   */
  HeaderRules(Set<String> reserved) {
    this.reserved = Set.copyOf(reserved);
  }

  /** Returns the headers of a caller that are forwarded to a runner. */
  MultiMap forRunner(MultiMap headers) {
    MultiMap passed = withoutConnection(headers);
    reserved.forEach(passed::remove);
    return passed;
  }

  /** Copies the headers of a runner that are forwarded to the caller. */
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
