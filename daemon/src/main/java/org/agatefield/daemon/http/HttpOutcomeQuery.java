package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.daemon.core.UpstreamIdempotencyKeys;
import org.agatefield.model.Upstream;

/**
 * Asks the runners of a service, one after the other, for the outcome of an idempotency key.
 *
 * <p>A status of 200 is the outcome; anything else says nothing. Safe for use by any thread.
 */
public final class HttpOutcomeQuery implements OutcomeQuery {
  private static final String KEY_PLACEHOLDER = "{key}";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int FOUND = 200;

  private final ConfigurationSource configuration;
  private final UpstreamServiceClient client;

  /** Creates the query. */
  public HttpOutcomeQuery(Vertx vertx, ConfigurationSource configuration) {
    this.configuration = configuration;
    this.client = new UpstreamServiceClient(vertx);
  }

  @Override
  public CompletableFuture<Optional<ServiceResponse>> ask(NonRepeatableCall call) {
    Optional<String> template = call.service().outcomePath();
    if (template.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    String key =
        URLEncoder.encode(
            UpstreamIdempotencyKeys.of(call.caller(), call.key()), StandardCharsets.UTF_8);
    UpstreamServiceRequest statusRequest =
        new UpstreamServiceRequest(
            HttpMethod.GET,
            template.get().replace(KEY_PLACEHOLDER, key),
            Map.of(),
            Buffer.buffer(),
            TIMEOUT);
    return queryNext(runners(call.service().name()).iterator(), statusRequest);
  }

  private List<Upstream> runners(String service) {
    return configuration.current().upstreams().stream()
        .filter(upstream -> upstream.service().filter(service::equals).isPresent())
        .toList();
  }

  private CompletableFuture<Optional<ServiceResponse>> queryNext(
      Iterator<Upstream> runners, UpstreamServiceRequest statusRequest) {
    if (!runners.hasNext()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return client
        .send(runners.next().address(), statusRequest)
        .handle((exchange, failure) -> outcome(exchange, failure))
        .thenCompose(
            found ->
                found.isPresent()
                    ? CompletableFuture.completedFuture(found)
                    : queryNext(runners, statusRequest));
  }

  private static Optional<ServiceResponse> outcome(ServiceResponse exchange, Throwable failure) {
    return failure == null && exchange.status() == FOUND ? Optional.of(exchange) : Optional.empty();
  }
}
