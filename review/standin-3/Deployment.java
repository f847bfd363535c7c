import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** Builds the configuration of a small deployment. */
final class Deployment {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Deployment() {}

  static ObjectNode route(
      String name, String kind, int timeoutMilliseconds, String service, int attempts) {
    ObjectNode route = MAPPER.createObjectNode().put("name", name).put("host", "front.example");
    route.put("path_prefix", "/" + name + "/").put("kind", kind);
    route.put("timeout_ms", timeoutMilliseconds).put("goal_ms", 1_000).put("priority", 1);
    route.put("service", service).put("max_attempts", attempts);
    route.put("sticky", kind.equals("streaming"));
    return route.put("resumable", kind.equals("streaming")).put("gap_aim_ms", 250);
  }

  static ObjectNode plainService(String name) {
    ObjectNode service = MAPPER.createObjectNode().put("name", name);
    service.put("health_path", "/health").put("max_conns", 500);
    return service.put("protocol", "h1").put("tls", false);
  }

  /** Returns a service of model runners; the models are given with their megabytes. */
  static ObjectNode modelService(String name, int adapters, Map<String, Double> models) {
    ObjectNode service = plainService(name);
    ObjectNode engine = service.putObject("engine").put("slots", 96);
    engine.put("kv_capacity", 131_389).put("kv_token_bytes", 131_072);
    engine.put("weights_mb", 83_000.0).put("adapter_slots", 8).put("load_per_s", 1.5);
    ArrayNode listed = engine.putArray("models");
    models.forEach(
        (model, megabytes) -> {
          ObjectNode each = listed.addObject().put("name", model).put("weights_mb", megabytes);
          each.put("load_s", 2.6).put("warm_s", 0.54).put("disk_s", 0.7);
          each.put("adapters", adapters).put("adapter_mb", 40.0);
        });
    return service;
  }

  static ObjectNode configuration(List<ObjectNode> routes, List<ObjectNode> services) {
    ObjectNode configuration = MAPPER.createObjectNode().put("version", 7);
    routes.forEach(configuration.putArray("routes")::add);
    services.forEach(configuration.putArray("services")::add);
    ObjectNode limits = configuration.putObject("limits").put("max_header_bytes", 16_384);
    limits.put("max_body_bytes", 4_194_304).put("header_timeout_ms", 3_000);
    limits.put("idle_timeout_ms", 15_000);
    return configuration;
  }
}
