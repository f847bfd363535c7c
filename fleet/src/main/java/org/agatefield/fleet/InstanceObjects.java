package org.agatefield.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import org.agatefield.model.Address;

/** Changes the platform's instance list, as the platform would. For use by one thread. */
final class InstanceObjects {
  static final String COLLECTION = "/apis/agatefield.org/v1/namespaces/default/instances";

  private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
  private static final Duration STATE_LIMIT = Duration.ofSeconds(60);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final FleetHttp http;
  private final Address store;

  InstanceObjects(FleetHttp http, Address store) {
    this.http = http;
    this.store = store;
  }

  /** Sets a state, again and again while the store fails, since the platform's own list goes on. */
  void setState(String name, String state) {
    LocalFleet.await(
        "the list says that " + name + " is " + state, STATE_LIMIT, () -> trySetState(name, state));
  }

  private boolean trySetState(String name, String state) {
    try {
      writeState(name, state);
      return true;
    } catch (FleetException exception) {
      return false;
    }
  }

  private void writeState(String name, String state) {
    String path = COLLECTION + "/" + name;
    FleetHttp.Answer found = FleetHttp.await(http.get(store, path), CALL_LIMIT);
    if (found.status() >= 300) {
      throw new FleetException("the instance list does not show " + name + ": " + found.text());
    }
    try {
      ObjectNode object = (ObjectNode) MAPPER.readTree(found.text());
      ((ObjectNode) object.path("spec")).put("state", state);
      FleetHttp.Answer answer =
          FleetHttp.await(
              http.send(HttpMethod.PUT, store, path, Map.of(), object.toString()), CALL_LIMIT);
      if (answer.status() >= 300) {
        throw new FleetException("the instance list refused " + name + ": " + answer.text());
      }
    } catch (JsonProcessingException exception) {
      throw new FleetException("the instance list answered no JSON", exception);
    }
  }
}
