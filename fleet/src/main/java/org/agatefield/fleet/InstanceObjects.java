package org.agatefield.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import org.agatefield.model.Address;

/**
 * Updates the platform's instance list in the store, in the role of the platform. Not thread-safe.
 */
final class InstanceObjects {
  static final String COLLECTION = "/apis/agatefield.org/v1/namespaces/default/instances";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration STATE_TIMEOUT = Duration.ofSeconds(60);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final FleetHttp http;
  private final Address store;

  InstanceObjects(FleetHttp http, Address store) {
    this.http = http;
    this.store = store;
  }

  /**
   * Sets the state of an instance or upstream. Retries while the store fails, since the real
   * platform updates its list independently of store failures.
   */
  void setState(String name, String state) {
    LocalFleet.await(
        "the instance list shows " + name + " as " + state,
        STATE_TIMEOUT,
        () -> trySetState(name, state));
  }

  private boolean trySetState(String name, String state) {
    try {
      updateState(name, state);
      return true;
    } catch (FleetException exception) {
      return false;
    }
  }

  private void updateState(String name, String state) {
    String path = COLLECTION + "/" + name;
    FleetHttp.Answer current = FleetHttp.await(http.get(store, path), CALL_TIMEOUT);
    if (current.status() >= 300) {
      throw new FleetException(
          "the instance list does not contain " + name + ": " + current.text());
    }
    try {
      ObjectNode object = (ObjectNode) MAPPER.readTree(current.text());
      ((ObjectNode) object.path("spec")).put("state", state);
      FleetHttp.Answer answer =
          FleetHttp.await(
              http.send(HttpMethod.PUT, store, path, Map.of(), object.toString()), CALL_TIMEOUT);
      if (answer.status() >= 300) {
        throw new FleetException("the instance list rejected " + name + ": " + answer.text());
      }
    } catch (JsonProcessingException exception) {
      throw new FleetException("the instance list returned invalid JSON", exception);
    }
  }
}
