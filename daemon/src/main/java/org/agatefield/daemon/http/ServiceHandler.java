package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.RequestTarget;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.daemon.core.UpstreamIdempotencyKeys;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.PlainService;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Handles calls of plain services: repeatable calls are retried on another runner, the others run
 * at most once for each idempotency key.
 *
 * <p>Safe for use by any thread; each call is confined to the context of its request.
 */
final class ServiceHandler {
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final int MAXIMUM_KEY_LENGTH = 255;
  private static final String[] FORWARDED_HEADERS = {
    "Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", "User-Agent"
  };

  private final CallerApiDependencies dependencies;
  private final UpstreamServiceClient client;

  ServiceHandler(CallerApiDependencies dependencies) {
    this.dependencies = dependencies;
    this.client = new UpstreamServiceClient(dependencies.vertx());
  }

  /** Handles a call whose body has been read. */
  void handle(
      RoutingContext context, RequestAttributes attributes, Buffer body, Runnable onCompletion) {
    HttpServerRequest request = context.request();
    PlainService service = service(context.pathParam("name"));
    String path = path(request, service);
    CompletableFuture<ServiceResponse> answer;
    if (service.isRepeatable(request.method().name(), pathOnly(path))) {
      answer = repeatable(request, service, path, attributes, body);
    } else {
      answer = nonRepeatable(request, service, path, attributes, body);
    }
    new ServiceAnswer(dependencies, context, attributes, answer, onCompletion).begin();
  }

  /** Returns the path and query to send to a service. */
  private static String path(HttpServerRequest request, PlainService service) {
    String received = request.uri().substring("/services/".length() + service.name().length());
    String target =
        RequestTarget.forwardable(received)
            .orElseThrow(
                () ->
                    new AgatefieldException(
                        ErrorKind.INVALID_REQUEST, "the path and query must be ASCII or UTF-8"));
    return target.startsWith("/") ? target : "/" + target;
  }

  private PlainService service(String name) {
    return dependencies
        .configuration()
        .current()
        .service(name)
        .orElseThrow(
            () ->
                new AgatefieldException(
                    ErrorKind.NOT_FOUND, "no service named '" + name + "' is configured"));
  }

  private static String pathOnly(String path) {
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }

  private CompletableFuture<ServiceResponse> repeatable(
      HttpServerRequest request,
      PlainService service,
      String path,
      RequestAttributes attributes,
      Buffer body) {
    UpstreamServiceRequest upstreamRequest =
        upstreamRequest(request, service, path, attributes, body);
    ServiceRequest serviceRequest = serviceRequest(request, service, attributes, body);
    return new RepeatableCall(dependencies, client, serviceRequest, upstreamRequest).begin();
  }

  /** Returns a copy of the call's future, so that cancelling it does not affect the call. */
  private CompletableFuture<ServiceResponse> nonRepeatable(
      HttpServerRequest request,
      PlainService service,
      String path,
      RequestAttributes attributes,
      Buffer body) {
    String key = key(request);
    if (!dependencies.shutdown().outlasts(attributes.remaining())) {
      throw new AgatefieldException(
          ErrorKind.SHUTTING_DOWN, "this instance may stop before the deadline of the call");
    }
    UpstreamServiceRequest upstreamRequest =
        upstreamRequest(request, service, path, attributes, body);
    NonRepeatableCall call =
        new NonRepeatableCall(
            attributes.requestId(),
            attributes.caller().name(),
            service,
            request.method().name(),
            path,
            key,
            digest(request.method().name(), path, body),
            attributes.remaining());
    return dependencies
        .nonRepeatableCalls()
        .execute(
            call,
            serviceRequest(request, service, attributes, body),
            dependencies.dispatcher(),
            runner -> client.send(runner, upstreamRequest))
        .copy();
  }

  private static String key(HttpServerRequest request) {
    String key = request.getHeader(KEY_HEADER);
    if (key == null || key.isBlank()) {
      throw new AgatefieldException(
          ErrorKind.MISSING_IDEMPOTENCY_KEY,
          "a non-repeatable call requires the header '" + KEY_HEADER + "'");
    }
    boolean printable = key.chars().allMatch(character -> character > ' ' && character < 127);
    if (key.length() > MAXIMUM_KEY_LENGTH || !printable) {
      throw new AgatefieldException(
          ErrorKind.INVALID_REQUEST,
          KEY_HEADER + ": must be 1 to " + MAXIMUM_KEY_LENGTH + " printable ASCII characters");
    }
    if (request.headers().getAll(KEY_HEADER).size() > 1) {
      throw new AgatefieldException(
          ErrorKind.INVALID_REQUEST, KEY_HEADER + ": must occur only once");
    }
    return key;
  }

  private static String digest(String method, String path, Buffer body) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    DigestUtils.updateDigest(digest, method + "\n" + path + "\n");
    DigestUtils.updateDigest(digest, body.getBytes());
    return Hex.encodeHexString(digest.digest());
  }

  private static ServiceRequest serviceRequest(
      HttpServerRequest request, PlainService service, RequestAttributes attributes, Buffer body) {
    return new ServiceRequest(
        attributes.requestId(),
        attributes.fingerprint(request.method().name(), request.uri(), body),
        attributes.caller().name(),
        service.name(),
        attributes.priority(),
        attributes.remaining(),
        body.length());
  }

  private static UpstreamServiceRequest upstreamRequest(
      HttpServerRequest request,
      PlainService service,
      String path,
      RequestAttributes attributes,
      Buffer body) {
    Map<String, String> headers = new HashMap<>();
    for (String name : FORWARDED_HEADERS) {
      String value = request.getHeader(name);
      if (value != null) {
        headers.put(name, value);
      }
    }
    headers.put("X-Request-Id", attributes.requestId());
    String key = request.getHeader(KEY_HEADER);
    if (key != null) {
      headers.put(KEY_HEADER, UpstreamIdempotencyKeys.of(attributes.caller().name(), key));
    }
    Duration timeout = Duration.ofMillis(service.timeoutMilliseconds());
    return new UpstreamServiceRequest(request.method(), path, headers, body, timeout);
  }

  /** Writes a complete answer; the result completes when it is written to the connection. */
  static Future<Void> write(HttpServerResponse response, ServiceResponse exchange) {
    response.setStatusCode(exchange.status());
    for (ServiceResponse.Header header : exchange.headers()) {
      response.headers().add(header.name(), header.value());
    }
    return response.end(exchange.body());
  }
}
