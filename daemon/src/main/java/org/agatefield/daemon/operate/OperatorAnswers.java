package org.agatefield.daemon.operate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Locale;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.daemon.configuration.ConfigurationConflictException;
import org.agatefield.daemon.configuration.ConfigurationRefusedException;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;

/** Writes the answers of the operators' API. Stateless. */
final class OperatorAnswers {
  private static final int STATUS_OK = 200;

  private OperatorAnswers() {}

  static void succeed(RoutingContext context, JsonNode body) {
    write(context, STATUS_OK, body);
  }

  static void fail(RoutingContext context, Throwable throwable) {
    AgatefieldException failure = toFailure(throwable);
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ObjectNode error = body.putObject("error");
    error.put("message", failure.getMessage());
    error.put("type", "agatefield_error");
    error.put("code", failure.kind().code());
    error.put("run", failure.runState().name().toLowerCase(Locale.ROOT));
    if (failure instanceof ConfigurationConflictException conflict) {
      error.set("difference", difference(conflict.difference()));
    }
    if (failure instanceof ConfigurationRefusedException refused) {
      error.set("faults", faults(refused.faults()));
    }
    write(context, failure.kind().httpStatus(), body);
  }

  static ObjectNode difference(ConfigurationDifference difference) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("fromGeneration", difference.fromGeneration());
    node.put("toGeneration", difference.toGeneration());
    ArrayNode changes = node.putArray("changes");
    difference
        .changes()
        .forEach(
            each ->
                changes
                    .addObject()
                    .put("kind", each.kind().name().toLowerCase(Locale.ROOT))
                    .put("path", each.path())
                    .put("before", each.before())
                    .put("after", each.after()));
    return node;
  }

  static ArrayNode faults(List<ConfigurationFault> faults) {
    ArrayNode nodes = JsonNodeFactory.instance.arrayNode();
    faults.forEach(
        each ->
            nodes
                .addObject()
                .put("path", each.path())
                .put("found", each.found())
                .put("rule", each.rule()));
    return nodes;
  }

  private static AgatefieldException toFailure(Throwable throwable) {
    return StoreException.failureOf(throwable)
        .map(
            failure ->
                failure == StoreFailure.NOT_FOUND
                    ? new AgatefieldException(
                        ErrorKind.NOT_FOUND, "no such generation in the history")
                    : new AgatefieldException(
                        ErrorKind.STORE_UNAVAILABLE, "the store cannot be read", throwable))
        .orElseGet(() -> AgatefieldException.from(throwable));
  }

  private static void write(RoutingContext context, int status, JsonNode body) {
    if (context.response().ended()) {
      return;
    }
    context
        .response()
        .setStatusCode(status)
        .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .end(body.toPrettyString() + "\n");
  }
}
