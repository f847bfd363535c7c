package org.agatefield.daemon.operate;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/**
 * Serves the operators' console under {@code /console}, whose forms edit the configuration document
 * and validate and apply it through the operators' API.
 *
 * <p>The page itself needs no token; it prompts for the token that the API requires. Immutable;
 * safe for use by any thread.
 */
final class ConsoleRoutes {
  private static final String SECURITY_POLICY =
      "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'";

  void mount(Router router) {
    serve(router, "/console", "console.html", "text/html; charset=utf-8");
    serve(router, "/console/console.js", "console.js", "text/javascript; charset=utf-8");
    serve(router, "/console/console.css", "console.css", "text/css; charset=utf-8");
  }

  private static void serve(Router router, String path, String resource, String type) {
    Buffer content = read(resource);
    router.get(path).handler(context -> answer(context, content, type));
  }

  private static void answer(RoutingContext context, Buffer content, String type) {
    context
        .response()
        .putHeader(HttpHeaders.CONTENT_TYPE, type)
        .putHeader("Content-Security-Policy", SECURITY_POLICY)
        .putHeader(HttpHeaders.CACHE_CONTROL, "no-store")
        .end(content);
  }

  private static Buffer read(String resource) {
    try (InputStream stream = ConsoleRoutes.class.getResourceAsStream("console/" + resource)) {
      return Buffer.buffer(stream.readAllBytes());
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
