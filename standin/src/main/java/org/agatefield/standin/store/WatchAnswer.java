package org.agatefield.standin.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes the response to a watch: changes as JSON lines and a bookmark every 5 seconds.
 *
 * <p>Confined to one event loop.
 */
final class WatchAnswer {
  private static final long BOOKMARK_INTERVAL_MILLISECONDS = 5_000;

  private final Vertx vertx;
  private final HttpServerResponse response;
  private final String plural;
  private final Supplier<StoreFaults> faults;
  private final Consumer<ObjectTable.Change> observer = this::changed;
  private long timer;
  private long reportedVersion;

  WatchAnswer(
      Vertx vertx, HttpServerResponse response, String plural, Supplier<StoreFaults> faults) {
    this.vertx = vertx;
    this.response = response;
    this.plural = plural;
    this.faults = faults;
  }

  /** Starts the watch unless the changes after the version are no longer retained. */
  boolean start(ObjectTable table, long fromVersion) {
    response.setChunked(true).putHeader("Content-Type", "application/json");
    reportedVersion = fromVersion;
    if (!table.observe(fromVersion, observer)) {
      response.setChunked(false);
      return false;
    }
    if (!response.headWritten()) {
      response.writeHead();
    }
    timer = vertx.setPeriodic(BOOKMARK_INTERVAL_MILLISECONDS, fired -> bookmark());
    return true;
  }

  void stop(ObjectTable table) {
    vertx.cancelTimer(timer);
    table.stopObserving(observer);
  }

  void end() {
    if (!response.ended() && !response.closed()) {
      response.end();
    }
  }

  private void changed(ObjectTable.Change change) {
    if (!change.plural().equals(plural) || faults.get().muteWatches()) {
      return;
    }
    long lag = faults.get().lagOf(plural);
    if (lag == 0) {
      report(change);
      return;
    }
    vertx.setTimer(lag, fired -> report(change));
  }

  private void report(ObjectTable.Change change) {
    if (response.ended() || response.closed()) {
      return;
    }
    reportedVersion = change.version();
    ObjectNode line = new ObjectMapper().createObjectNode();
    line.put("type", change.type()).set("object", change.object());
    response.write(line + "\n");
  }

  private void bookmark() {
    if (response.ended() || response.closed()) {
      return;
    }
    ObjectNode line = new ObjectMapper().createObjectNode();
    line.put("type", "BOOKMARK");
    line.putObject("object").putObject("metadata").put("resourceVersion", "" + reportedVersion);
    response.write(line + "\n");
  }
}
