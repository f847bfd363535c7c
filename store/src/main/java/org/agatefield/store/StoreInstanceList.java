package org.agatefield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.InstanceState;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the instance list from store objects of the kind {@link ObjectKind#INSTANCE}.
 *
 * <p>Malformed objects are skipped; each of their versions is logged once. Safe for use by any
 * thread: {@code malformed} is used by the informer's calls only, one at a time.
 */
public final class StoreInstanceList implements InstanceList, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(StoreInstanceList.class);

  /** The fields of an instance or an upstream that are read. */
  static final Set<String> FIELDS =
      Set.of("callerAddress", "failureDomain", "peerAddress", "region", "role", "state");

  private final ObjectInformer informer;
  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, String> malformed = new HashMap<>();
  private volatile Snapshot current = Snapshot.EMPTY;

  /**
   * Starts watching the list.
   *
   * @param pollInterval how often the list is read although its watch is quiet
   */
  public StoreInstanceList(Vertx vertx, ObjectStore store, Duration pollInterval) {
    this.informer = new ObjectInformer(vertx, store, ObjectKind.INSTANCE, pollInterval);
    informer.listen(
        new InformerListener() {
          @Override
          public void updated(Map<String, StoredObject> objects) {
            replace(objects);
          }
        });
    informer.start();
  }

  @Override
  public Snapshot current() {
    return current;
  }

  @Override
  public void subscribe(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  @Override
  public void close() {
    informer.close();
  }

  private void replace(Map<String, StoredObject> objects) {
    Snapshot next = read(objects);
    if (next.equals(current)) {
      return;
    }
    current = next;
    listeners.forEach(listener -> listener.accept(next));
  }

  private Snapshot read(Map<String, StoredObject> objects) {
    malformed.keySet().retainAll(objects.keySet());
    List<EntryInstance> entries = new ArrayList<>();
    Set<String> live = new HashSet<>();
    Set<String> leaving = new HashSet<>();
    for (Map.Entry<String, StoredObject> each : new TreeMap<>(objects).entrySet()) {
      JsonNode content = each.getValue().content();
      try {
        InstanceState state = InstanceState.valueOf(content.path("state").asText());
        if (content.path("role").asText().equals("UPSTREAM")) {
          (state == InstanceState.LIVE ? live : leaving).add(each.getKey());
        } else {
          entries.add(readEntry(each.getKey(), content, state));
        }
      } catch (IllegalArgumentException exception) {
        String version = each.getValue().resourceVersion();
        if (!version.equals(malformed.put(each.getKey(), version))) {
          LOGGER.warn(
              "skipping malformed object in instance list name={} cause=\"{}\"",
              each.getKey(),
              exception.getMessage());
        }
      }
    }
    return new Snapshot(entries, live, leaving);
  }

  private static EntryInstance readEntry(String name, JsonNode content, InstanceState state) {
    return new EntryInstance(
        name,
        Address.parse(content.path("callerAddress").asText()),
        Address.parse(content.path("peerAddress").asText()),
        new FailureDomain(content.path("region").asText(), content.path("failureDomain").asText()),
        state);
  }
}
