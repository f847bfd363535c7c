package org.agatefield.daemon.operate;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * The operators' API under {@code /operator}, for those who hold the operators' token, and the
 * console that drives it.
 *
 * <p>Immutable; safe for use by any thread.
 */
public final class OperatorApi {
  private static final long MAXIMUM_BODY_BYTES = 2_000_000;

  private final OperatorApiDependencies dependencies;
  private final String operatorTokenSha256;

  /**
   * Creates the API.
   *
   * @param operatorTokenSha256 the SHA-256 of the bearer token, 64 hexadecimal digits
   */
  public OperatorApi(OperatorApiDependencies dependencies, String operatorTokenSha256) {
    this.dependencies = dependencies;
    this.operatorTokenSha256 = operatorTokenSha256;
  }

  /** Adds the routes to {@code router}. */
  public void mount(Router router) {
    router.route("/operator/*").handler(new OperatorAuthentication(operatorTokenSha256));
    router.route("/operator/*").handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES));
    new ConfigurationRoutes(dependencies.configuration()).mount(router);
    new StatusRoutes(dependencies).mount(router);
    new ConsoleRoutes().mount(router);
  }
}
