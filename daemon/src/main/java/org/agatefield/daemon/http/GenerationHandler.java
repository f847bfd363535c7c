package org.agatefield.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.agatefield.model.Adapter;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Priority;

/**
 * Serves requests to models.
 *
 * <p>Safe for use by any thread; each request is confined to its context.
 */
final class GenerationHandler {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String COMPLETIONS_PATH = "/v1/completions";

  private final CallerApiDependencies dependencies;

  GenerationHandler(CallerApiDependencies dependencies) {
    this.dependencies = dependencies;
  }

  CallerApi.BodyHandler chat() {
    return (context, terms, body, onCompletion) ->
        handle(context, terms, body, onCompletion, CHAT_PATH, "messages");
  }

  CallerApi.BodyHandler completions() {
    return (context, terms, body, onCompletion) ->
        handle(context, terms, body, onCompletion, COMPLETIONS_PATH, "prompt");
  }

  private void handle(
      RoutingContext routing,
      RequestAttributes terms,
      Buffer raw,
      Runnable onCompletion,
      String path,
      String promptField) {
    HttpServerRequest request = routing.request();
    checkContentType(request.getHeader("Content-Type"));
    GenerationBody body = GenerationBodyReader.read(raw, promptField);
    Priority priority = RequestAttributes.lower(terms.priority(), deployment(body).priority());
    GenerationTask task = new GenerationTask(terms, priority, path, body);
    String prefix = path.equals(CHAT_PATH) ? "chatcmpl-" : "cmpl-";
    AnswerIdentity identity = AnswerIdentity.of(prefix + terms.requestId(), body.model());
    CallerAnswer answer =
        body.stream()
            ? new StreamedAnswer(request.response(), identity)
            : new BufferedAnswer(request.response(), identity);
    Context context = dependencies.vertx().getOrCreateContext();
    new Generation(dependencies, context, task, answer, onCompletion).begin(request.response());
  }

  private static void checkContentType(String contentType) {
    boolean json =
        contentType != null
            && contentType.regionMatches(
                true, 0, "application/json", 0, "application/json".length());
    if (!json) {
      throw new AgatefieldException(
          ErrorKind.INVALID_REQUEST,
          "Content-Type: must be application/json, not '" + contentType + "'");
    }
  }

  private Deployment deployment(GenerationBody body) {
    ConfigurationDocument document = dependencies.configuration().current();
    Optional<String> base = document.adapter(body.model()).map(Adapter::deployment);
    return document
        .deployment(base.orElse(body.model()))
        .orElseThrow(
            () ->
                new AgatefieldException(
                    ErrorKind.NOT_FOUND,
                    "no model of the name '" + body.model() + "' is configured"));
  }
}
