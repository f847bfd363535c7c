package org.agatefield.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.daemon.peers.CompressedJson;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Learns configuration and runners from other instances, for when the store is away.
 *
 * <p>Confined to one event loop.
 */
final class SnapshotExchange {
  private static final Logger LOGGER = LogManager.getLogger(SnapshotExchange.class);
  // The own watch usually brings a new version first.
  private static final long PATIENCE_MILLISECONDS = 400;
  private static final long RETRY_MILLISECONDS = 700;
  private static final long ANSWER_MILLISECONDS = 3_000; // a large configuration on a slow link
  private static final String NAME_FIELD = "name";
  private static final String CONTENT_FIELD = "content";

  private final Vertx vertx;
  private final ConfigurationTracker configuration;
  private final RunnerDirectory runners;
  private final ObjectMapper mapper = new ObjectMapper();
  private ForwardingPeers peers;
  private boolean asking;

  SnapshotExchange(Vertx vertx, ConfigurationTracker configuration, RunnerDirectory runners) {
    this.vertx = vertx;
    this.configuration = configuration;
    this.runners = runners;
  }

  /** Asks peers until something is known. */
  void start(ForwardingPeers known) {
    peers = known;
    vertx.setTimer(PATIENCE_MILLISECONDS, fired -> askWhileIgnorant());
  }

  /** A member has a configuration that may be newer. */
  void heard(Instance holder, long version) {
    if (version <= configuration.version() || asking) {
      return;
    }
    asking = true;
    vertx.setTimer(
        PATIENCE_MILLISECONDS,
        fired -> {
          asking = false;
          if (version > configuration.version()) {
            ask(holder);
          }
        });
  }

  /** Answers another instance. */
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

  private void askWhileIgnorant() {
    boolean ignorant = configuration.table().isEmpty() || runners.all().isEmpty();
    if (!ignorant) {
      return;
    }
    List<Instance> others =
        peers.alive().stream().filter(each -> !each.id().equals(peers.self().id())).toList();
    if (!others.isEmpty()) {
      ask(others.get(ThreadLocalRandom.current().nextInt(others.size())));
    }
    vertx.setTimer(RETRY_MILLISECONDS, fired -> askWhileIgnorant());
  }

  private void ask(Instance holder) {
    peers
        .request(
            holder, new PeerMessage.SnapshotRequest(configuration.version()), ANSWER_MILLISECONDS)
        .whenComplete(
            (answer, failure) -> {
              if (answer instanceof PeerMessage.SnapshotAnswer snapshot) {
                learn(holder, snapshot);
              } else if (failure != null) {
                LOGGER.info("snapshot peer={} failed=\"{}\"", holder.id(), failure.getMessage());
              }
            });
  }

  private void learn(Instance holder, PeerMessage.SnapshotAnswer snapshot) {
    snapshot
        .configuration()
        .flatMap(CompressedJson::decompress)
        .ifPresent(content -> configuration.learn(content, holder.id()));
    for (byte[] each : snapshot.runners()) {
      CompressedJson.decompress(each)
          .ifPresent(
              entry ->
                  runners.addFromPeer(
                      entry.path(NAME_FIELD).asText(),
                      entry.path(CONTENT_FIELD),
                      snapshot.ageMilliseconds()));
    }
  }

  private ObjectNode named(String id, JsonNode content) {
    ObjectNode named = mapper.createObjectNode().put(NAME_FIELD, id);
    named.set(CONTENT_FIELD, content);
    return named;
  }
}
