package org.agatefield.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.agatefield.daemon.core.EntryAddresses;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;

/**
 * Answers which models there are, which instances to use, and how this instance is.
 *
 * <p>Stateless.
 */
final class DirectoryHandler {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final CallerApiDependencies dependencies;

  DirectoryHandler(CallerApiDependencies dependencies) {
    this.dependencies = dependencies;
  }

  void models(RoutingContext context) {
    ObjectNode answer = MAPPER.createObjectNode().put("object", "list");
    ArrayNode data = answer.putArray("data");
    ConfigurationDocument document = dependencies.configuration().current();
    document.deployments().forEach(deployment -> data.add(describe(deployment.name())));
    document.adapters().forEach(adapter -> data.add(describe(adapter.name())));
    send(context, STATUS_OK, answer);
  }

  void model(RoutingContext context) {
    String name = context.pathParam("name");
    ConfigurationDocument document = dependencies.configuration().current();
    if (document.deployment(name).isEmpty() && document.adapter(name).isEmpty()) {
      throw new AgatefieldException(
          ErrorKind.NOT_FOUND, "no model of the name '" + name + "' is configured");
    }
    send(context, STATUS_OK, describe(name));
  }

  void entries(RoutingContext context) {
    Optional<String> model = Optional.ofNullable(context.request().getParam("model"));
    Optional<String> region = Optional.ofNullable(context.request().getParam("region"));
    EntryAddresses entries = dependencies.entries().entriesFor(model, region);
    if (entries.addresses().contains(dependencies.instances().self().callerAddress())) {
      dependencies.shutdown().recordEntryAnswer();
    }
    ObjectNode answer = MAPPER.createObjectNode();
    ArrayNode addresses = answer.putArray("addresses");
    entries.addresses().stream().map(Address::toString).forEach(addresses::add);
    answer.put("timeToLiveSeconds", entries.timeToLive().toSeconds());
    send(context, STATUS_OK, answer);
  }

  void health(RoutingContext context) {
    send(context, STATUS_OK, MAPPER.createObjectNode().put("status", "ok"));
  }

  void readiness(RoutingContext context) {
    if (dependencies.shutdown().isLeaving()) {
      notReady(context, "the instance is leaving");
    } else if (dependencies.configuration().current().generation() == 0) {
      notReady(context, "no configuration is in force yet");
    } else {
      send(context, STATUS_OK, MAPPER.createObjectNode().put("status", "ready"));
    }
  }

  private static void notReady(RoutingContext context, String reason) {
    ObjectNode answer = MAPPER.createObjectNode().put("status", "not ready").put("reason", reason);
    send(context, STATUS_UNAVAILABLE, answer);
  }

  private static ObjectNode describe(String name) {
    return MAPPER
        .createObjectNode()
        .put("id", name)
        .put("object", "model")
        .put("created", 0)
        .put("owned_by", "agatefield");
  }

  private static void send(RoutingContext context, int status, ObjectNode answer) {
    context
        .response()
        .setStatusCode(status)
        .putHeader("content-type", "application/json")
        .end(Buffer.buffer(answer.toString()));
  }
}
