package org.agatefield.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Adds the default values of fields that a valid document omits. Stateless. */
final class DocumentDefaults {
  private static final int DEFAULT_SERVICE_TIMEOUT_MILLISECONDS = 30_000;

  private DocumentDefaults() {}

  static void fill(ObjectNode root) {
    for (String list : new String[] {"adapters", "callers", "services"}) {
      if (!root.has(list)) {
        root.putArray(list);
      }
    }
    if (!root.has("weightStore")) {
      root.putObject("weightStore")
          .put("loadsPerSecond", 1)
          .put("concurrentLoads", 1)
          .put("adapterLoadsInFlight", 1);
    }
    root.get("deployments").forEach(DocumentDefaults::fillDeployment);
    root.get("callers").forEach(DocumentDefaults::fillCaller);
    root.get("services").forEach(DocumentDefaults::fillService);
    root.get("upstreams").forEach(DocumentDefaults::fillUpstream);
  }

  private static void fillDeployment(JsonNode deployment) {
    putIfAbsent(deployment, "priority", "standard");
    putIfAbsent(deployment, "minimumReplicas", 1);
    for (JsonNode version : deployment.get("versions")) {
      putIfAbsent(version, "weight", 1);
    }
  }

  private static void fillCaller(JsonNode caller) {
    putIfAbsent(caller, "weight", 1);
    putIfAbsent(caller, "priority", "interactive");
  }

  private static void fillService(JsonNode service) {
    if (!service.has("calls")) {
      ((ObjectNode) service).putArray("calls");
    }
    putIfAbsent(service, "timeoutMilliseconds", DEFAULT_SERVICE_TIMEOUT_MILLISECONDS);
  }

  private static void fillUpstream(JsonNode upstream) {
    putIfAbsent(upstream, "accelerators", 0);
    putIfAbsent(upstream, "memoryMegabytes", 0);
    if (!upstream.has("checksFencingTokens")) {
      ((ObjectNode) upstream).put("checksFencingTokens", false);
    }
  }

  private static void putIfAbsent(JsonNode node, String field, String value) {
    if (!node.has(field)) {
      ((ObjectNode) node).put(field, value);
    }
  }

  private static void putIfAbsent(JsonNode node, String field, int value) {
    if (!node.has(field)) {
      ((ObjectNode) node).put(field, value);
    }
  }
}
