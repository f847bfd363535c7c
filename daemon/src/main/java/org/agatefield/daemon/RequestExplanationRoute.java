package org.agatefield.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.agatefield.daemon.dispatch.RoutingDispatcher;
import org.agatefield.daemon.dispatch.RoutingExplanation;

/** Serves explanations of routing decisions. Safe for use by any thread. */
final class RequestExplanationRoute implements Handler<RoutingContext> {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private final RoutingDispatcher dispatcher;

  RequestExplanationRoute(RoutingDispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  @Override
  public void handle(RoutingContext context) {
    Optional<String> id = context.queryParam("id").stream().findFirst();
    if (id.isEmpty()) {
      answer(
          context,
          BAD_REQUEST,
          "{\"error\":\"id: missing; must be the X-Request-Id of an answer\"}");
      return;
    }
    Optional<RoutingExplanation> explanation = dispatcher.explain(id.get());
    if (explanation.isEmpty()) {
      answer(
          context, NOT_FOUND, "{\"error\":\"id: this instance has no routing decision for it\"}");
      return;
    }
    try {
      answer(context, 200, MAPPER.writeValueAsString(explanation.get()));
    } catch (JsonProcessingException exception) {
      context.fail(exception);
    }
  }

  private static void answer(RoutingContext context, int status, String body) {
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(body);
  }
}
