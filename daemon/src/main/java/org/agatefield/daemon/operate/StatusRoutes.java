package org.agatefield.daemon.operate;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Locale;
import java.util.Set;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;
import org.agatefield.placement.LedgerEntry;
import org.agatefield.placement.ReplicaSize;
import org.agatefield.placement.RunnerLedger;

/** The operators' requests about what runs and why. Immutable; safe for use by any thread. */
final class StatusRoutes {
  private final OperatorApiDependencies dependencies;

  StatusRoutes(OperatorApiDependencies dependencies) {
    this.dependencies = dependencies;
  }

  void mount(Router router) {
    router.get("/operator/status").handler(this::status);
    router.get("/operator/explain/placement").handler(this::explainPlacement);
    router.post("/operator/drain").handler(this::drain);
  }

  private void status(RoutingContext context) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("instance", dependencies.instances().self().id());
    body.put("generation", dependencies.configuration().current().generation());
    body.put("planner", dependencies.plannerLease().currentGrant().isPresent());
    body.put("violations", dependencies.monitor().violations());
    addInstances(body.putArray("instances"));
    addUpstreams(body.putArray("upstreams"));
    addReplicas(body.putArray("replicas"));
    addLedgers(body.putArray("ledgers"));
    OperatorAnswers.succeed(context, body);
  }

  private void addInstances(ArrayNode nodes) {
    dependencies
        .instances()
        .alive()
        .forEach(
            each ->
                nodes
                    .addObject()
                    .put("id", each.id())
                    .put("callerAddress", each.callerAddress().toString())
                    .put("failureDomain", each.failureDomain().toString())
                    .put("state", lowerCase(each.state())));
  }

  private void addUpstreams(ArrayNode nodes) {
    Set<String> leaving = dependencies.instances().leavingUpstreams();
    for (Upstream upstream : dependencies.configuration().current().upstreams()) {
      nodes
          .addObject()
          .put("name", upstream.name())
          .put("kind", lowerCase(upstream.kind()))
          .put("address", upstream.address().toString())
          .put("failureDomain", upstream.failureDomain().toString())
          .put("leaving", leaving.contains(upstream.name()));
    }
  }

  private void addReplicas(ArrayNode nodes) {
    for (Replica replica : dependencies.ledgers().replicas()) {
      ObjectNode node = nodes.addObject();
      node.put("version", replica.version().engineName());
      node.put("upstream", replica.upstream());
      node.put("draining", replica.draining());
      replica.adapters().stream().sorted().forEach(node.putArray("adapters")::add);
    }
  }

  private void addLedgers(ArrayNode nodes) {
    for (RunnerLedger ledger : dependencies.ledgers().ledgers().values()) {
      addLedger(nodes.addObject(), ledger);
    }
  }

  private static void addLedger(ObjectNode node, RunnerLedger ledger) {
    node.put("upstream", ledger.upstream());
    node.put("memoryMegabytes", ledger.memoryMegabytes());
    node.put("reservedMegabytes", ledger.reservedMegabytes());
    node.put("highestToken", ledger.highestToken());
    ArrayNode entries = node.putArray("entries");
    for (LedgerEntry entry : ledger.entries()) {
      entries
          .addObject()
          .put("version", entry.version().engineName())
          .put("state", lowerCase(entry.state()))
          .put("reservedMegabytes", entry.reservedMegabytes())
          .put("orderToken", entry.orderToken());
    }
  }

  private void explainPlacement(RoutingContext context) {
    String name = context.request().getParam("version", "");
    VersionId version;
    try {
      version = VersionId.parse(name);
    } catch (IllegalArgumentException exception) {
      OperatorAnswers.fail(
          context, new AgatefieldException(ErrorKind.INVALID_REQUEST, exception.getMessage()));
      return;
    }
    OperatorAnswers.succeed(context, explain(version));
  }

  private ObjectNode explain(VersionId version) {
    ConfigurationDocument document = dependencies.configuration().current();
    long size = ReplicaSize.of(document, version).totalMegabytes();
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("version", version.engineName());
    body.put("replicaMegabytes", size);
    body.put(
        "minimumReplicas",
        document.deployment(version.deployment()).map(each -> each.minimumReplicas()).orElse(0));
    ArrayNode runners = body.putArray("runners");
    for (RunnerLedger ledger : dependencies.ledgers().ledgers().values()) {
      ObjectNode node = runners.addObject();
      node.put("upstream", ledger.upstream());
      node.put("freeMegabytes", ledger.freeMegabytes());
      node.put("fits", ledger.freeMegabytes() >= size);
      ledger.entry(version).ifPresent(each -> node.put("state", lowerCase(each.state())));
    }
    return body;
  }

  private void drain(RoutingContext context) {
    dependencies
        .drain()
        .get()
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                OperatorAnswers.fail(context, failure);
                return;
              }
              ObjectNode body = JsonNodeFactory.instance.objectNode();
              OperatorAnswers.succeed(context, body.put("draining", true));
            });
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
