package org.agatefield.daemon.operate;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Locale;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.apache.commons.codec.digest.DigestUtils;

/** Lets requests pass that carry the operators' bearer token. Immutable; safe for any thread. */
final class OperatorAuthentication implements Handler<RoutingContext> {
  private static final String SCHEME = "bearer ";

  private final byte[] expectedSha256;

  OperatorAuthentication(String tokenSha256) {
    this.expectedSha256 = tokenSha256.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void handle(RoutingContext context) {
    String header = context.request().getHeader(HttpHeaders.AUTHORIZATION);
    if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
      refuse(context, ErrorKind.UNAUTHENTICATED, "the operators' bearer token is missing");
      return;
    }
    String token = header.substring(SCHEME.length()).trim();
    byte[] found = DigestUtils.sha256Hex(token).getBytes(StandardCharsets.US_ASCII);
    if (!MessageDigest.isEqual(expectedSha256, found)) {
      refuse(context, ErrorKind.FORBIDDEN, "the bearer token is not the operators'");
      return;
    }
    context.next();
  }

  private static void refuse(RoutingContext context, ErrorKind kind, String message) {
    OperatorAnswers.fail(context, new AgatefieldException(kind, message));
  }
}
