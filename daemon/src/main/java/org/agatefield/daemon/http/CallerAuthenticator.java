package org.agatefield.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.UpstreamIdempotencyKeys;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Finds out who sent a request, from its bearer token.
 *
 * <p>Invariant: tokens are compared by their SHA-256 only. Safe for use by any thread: the index is
 * replaced as a whole.
 */
final class CallerAuthenticator {
  private static final Caller ANONYMOUS =
      new Caller(UpstreamIdempotencyKeys.ANONYMOUS_CALLER, "", 1, Priority.INTERACTIVE);
  private static final String SCHEME = "Bearer ";

  private volatile Map<String, Caller> callersByToken = Map.of();

  CallerAuthenticator(ConfigurationSource configuration) {
    configuration.subscribe(this::index);
  }

  /**
   * Returns the caller of a request; the anonymous one if no callers are configured.
   *
   * @throws AgatefieldException of kind UNAUTHENTICATED if the token is missing or unknown
   */
  Caller authenticate(HttpServerRequest request) {
    Map<String, Caller> callers = callersByToken;
    if (callers.isEmpty()) {
      return ANONYMOUS;
    }
    String header = request.getHeader("Authorization");
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw new AgatefieldException(
          ErrorKind.UNAUTHENTICATED, "the header 'Authorization: Bearer <token>' is missing");
    }
    Caller caller = callers.get(DigestUtils.sha256Hex(header.substring(SCHEME.length()).trim()));
    if (caller == null) {
      throw new AgatefieldException(
          ErrorKind.UNAUTHENTICATED, "the bearer token belongs to no configured caller");
    }
    return caller;
  }

  private void index(ConfigurationDocument document) {
    callersByToken =
        document.callers().stream()
            .collect(Collectors.toUnmodifiableMap(Caller::tokenSha256, Function.identity()));
  }
}
