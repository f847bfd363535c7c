package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.agatefield.daemon.peers.CompressedJson;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ContentLimits;
import org.agatefield.store.ObjectKind;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Gets the configuration and the runner entries from other instances while the store is
 * unavailable.
 *
 * <p>Confined to one event loop.
 */
final class SnapshotExchange {
  private static final Logger LOGGER = LogManager.getLogger(SnapshotExchange.class);
  // The local watch usually delivers a new version first.
  private static final long REQUEST_DELAY_MILLISECONDS = 400;
  private static final long RETRY_MILLISECONDS = 700;
  // Covers a large configuration on a slow link.
  private static final long RESPONSE_TIMEOUT_MILLISECONDS = 3_000;
  private static final String NAME_FIELD = "name";
  private static final String CONTENT_FIELD = "content";

  private final Vertx vertx;
  private final ConfigurationTracker configuration;
  private final RunnerDirectory runners;
  private final ContentLimits configurationLimits;
  private final ContentLimits entryLimits;
  private final ObjectMapper mapper = new ObjectMapper();
  private ForwardingPeers peers;
  private boolean requestScheduled;

  /**
   * Creates an exchange.
   *
   * @param limits what is read of the contents of a kind
   */
  SnapshotExchange(
      Vertx vertx,
      ConfigurationTracker configuration,
      RunnerDirectory runners,
      Function<ObjectKind, ContentLimits> limits) {
    this.vertx = vertx;
    this.configuration = configuration;
    this.runners = runners;
    this.configurationLimits = limits.apply(ObjectKind.CONFIGURATION);
    this.entryLimits = limits.apply(ObjectKind.RUNNER).ofFields(Set.of(NAME_FIELD, CONTENT_FIELD));
  }

  /** Requests snapshots from peers until configuration and runners are known. */
  void start(ForwardingPeers forwardingPeers) {
    peers = forwardingPeers;
    vertx.setTimer(REQUEST_DELAY_MILLISECONDS, fired -> requestWhileIncomplete());
  }

  /** Handles the announcement of a member's configuration version, which may be newer. */
  void versionAnnounced(Instance holder, long version) {
    if (version <= configuration.version() || requestScheduled) {
      return;
    }
    requestScheduled = true;
    vertx.setTimer(
        REQUEST_DELAY_MILLISECONDS,
        fired -> {
          requestScheduled = false;
          if (version > configuration.version()) {
            requestSnapshot(holder);
          }
        });
  }

  /** Responds to a snapshot request of another instance. */
  PeerMessage.SnapshotAnswer answer(PeerMessage.SnapshotRequest request) {
    Optional<byte[]> newer =
        configuration.version() > request.configurationVersion()
            ? configuration.content().map(CompressedJson::compress)
            : Optional.empty();
    List<byte[]> entries = new ArrayList<>();
    runners
        .contents()
        .forEach((id, content) -> entries.add(CompressedJson.compress(named(id, content))));
    return new PeerMessage.SnapshotAnswer(newer, entries, runners.ageMilliseconds());
  }

  private void requestWhileIncomplete() {
    boolean incomplete = configuration.table().isEmpty() || runners.all().isEmpty();
    if (!incomplete) {
      return;
    }
    List<Instance> others =
        peers.alive().stream().filter(each -> !each.id().equals(peers.self().id())).toList();
    if (!others.isEmpty()) {
      requestSnapshot(others.get(ThreadLocalRandom.current().nextInt(others.size())));
    }
    vertx.setTimer(RETRY_MILLISECONDS, fired -> requestWhileIncomplete());
  }

  private void requestSnapshot(Instance holder) {
    peers
        .request(
            holder,
            new PeerMessage.SnapshotRequest(configuration.version()),
            RESPONSE_TIMEOUT_MILLISECONDS)
        .whenComplete(
            (answer, failure) -> {
              if (answer instanceof PeerMessage.SnapshotAnswer snapshot) {
                apply(holder, snapshot);
              } else if (failure != null) {
                LOGGER.info("snapshot peer={} failed=\"{}\"", holder.id(), failure.getMessage());
              }
            });
  }

  private void apply(Instance holder, PeerMessage.SnapshotAnswer snapshot) {
    snapshot
        .configuration()
        .flatMap(bytes -> CompressedJson.decompress(bytes, configurationLimits))
        .ifPresent(content -> configuration.applyIfNewer(content, holder.id()));
    for (byte[] each : snapshot.runners()) {
      CompressedJson.decompress(each, entryLimits)
          .ifPresent(entry -> add(entry, snapshot.ageMilliseconds()));
    }
  }

  private void add(JsonNode entry, long ageMilliseconds) {
    String id = entry.path(NAME_FIELD).asText();
    try {
      runners.addFromPeer(id, entry.path(CONTENT_FIELD), ageMilliseconds);
    } catch (RuntimeException exception) {
      LOGGER.error("runner={} source=peer failed", id, exception);
    }
  }

  private ObjectNode named(String id, JsonNode content) {
    ObjectNode named = mapper.createObjectNode().put(NAME_FIELD, id);
    named.set(CONTENT_FIELD, content);
    return named;
  }
}
