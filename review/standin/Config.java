import com.fasterxml.jackson.databind.node.*;

/** A small configuration: a booking service with two routes and a service of models. */
final class Config {
  static final String HOST = "ficu95.example";

  static ObjectNode of(int version) {
    ObjectNode c = Store.JSON.createObjectNode();
    c.put("version", version);
    ArrayNode routes = c.putArray("routes");
    route(routes, "book", "/puxa403/", "non_idempotent", 1200, 400, 1, "wuno96b");
    route(routes, "look", "/cufi504/", "idempotent", 1200, 400, 2, "wuno96b");
    ObjectNode stream = route(routes, "draft", "/lohu930/", "streaming", 5000, 1000, 2, "huvo11a");
    stream.put("sticky", true).put("resumable", true).put("gap_aim_ms", 250);
    ArrayNode services = c.putArray("services");
    services.addObject().put("name", "wuno96b").put("health_path", "/health").put("max_conns", 110);
    ObjectNode models =
        services.addObject().put("name", "huvo11a").put("health_path", "/health");
    models.put("max_conns", 500);
    ObjectNode engine = models.putObject("engine");
    engine.put("slots", 96).put("kv_capacity", 120987).put("weights_mb", 83000.0);
    engine.put("adapter_slots", 5).put("load_per_s", 1.1);
    ArrayNode list = engine.putArray("models");
    list.addObject()
        .put("name", "daka510000")
        .put("weights_mb", 16100.0)
        .put("load_s", 1.9)
        .put("warm_s", 0.54)
        .put("disk_s", 0.7)
        .put("adapters", 0)
        .put("adapter_mb", 14.0);
    c.putObject("limits")
        .put("max_header_bytes", 16384)
        .put("max_body_bytes", 4194304)
        .put("header_timeout_ms", 5000)
        .put("idle_timeout_ms", 30000);
    return c;
  }

  private static ObjectNode route(
      ArrayNode routes,
      String name,
      String prefix,
      String kind,
      int timeout,
      int goal,
      int attempts,
      String service) {
    return routes
        .addObject()
        .put("name", name)
        .put("host", HOST)
        .put("path_prefix", prefix)
        .put("kind", kind)
        .put("timeout_ms", timeout)
        .put("goal_ms", goal)
        .put("priority", 2)
        .put("service", service)
        .put("max_attempts", attempts);
  }
}
