package org.agatefield.daemon.operate;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import org.agatefield.configuration.ConfigurationReader;

/**
 * The operators' API under {@code /operator}, which requires the operators' token, and the console
 * that uses it.
 *
 * <p>Immutable; safe for use by any thread.
 */
public final class OperatorApi {
  private final OperatorApiDependencies dependencies;
  private final String operatorTokenSha256;

  /**
   * Creates the API.
   *
   * @param operatorTokenSha256 the SHA-256 digest of the bearer token as 64 hexadecimal digits
   */
  public OperatorApi(OperatorApiDependencies dependencies, String operatorTokenSha256) {
    this.dependencies = dependencies;
    this.operatorTokenSha256 = operatorTokenSha256;
  }

  /** Adds the routes to {@code router}. */
  public void mount(Router router) {
    router.route("/operator/*").handler(new OperatorAuthentication(operatorTokenSha256));
    router
        .route("/operator/*")
        .handler(BodyHandler.create(false).setBodyLimit(ConfigurationReader.MAXIMUM_BYTES));
    new ConfigurationRoutes(dependencies.configuration()).mount(router);
    new StatusRoutes(dependencies).mount(router);
    new ConsoleRoutes().mount(router);
  }
}
