package org.agatefield.daemon.peers;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agatefield.daemon.core.ConfigurationSink;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerTransport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Fetches a newer configuration from the peer that has it, and gives ours to peers that ask.
 *
 * <p>A generation that is heard of from another region is fetched at once only by that region's few
 * gateways; the others wait a moment for one of their own region. Invariant: at most one request is
 * open. Confined to the event loop, except {@link #answer}.
 */
final class ConfigurationSynchronizer {
  static final int GATEWAYS = 2;
  private static final long REMOTE_DELAY_MILLISECONDS = 250;
  private static final long REQUEST_MILLISECONDS = 1_000;
  private static final Logger LOGGER = LogManager.getLogger(ConfigurationSynchronizer.class);

  private final Instance self;
  private final EventLoop loop;
  private final PeerTransport transport;
  private final ConfigurationSource source;
  private final ConfigurationSink sink;
  private final UniformRandomProvider random;
  private final Supplier<List<Instance>> instances;
  private final CompressedDocument compressed = new CompressedDocument();
  private long remoteGeneration;
  private boolean requestPending;
  private long requests;

  ConfigurationSynchronizer(
      Instance self,
      EventLoop loop,
      PeerTransport transport,
      ConfigurationSource source,
      ConfigurationSink sink,
      UniformRandomProvider random,
      Supplier<List<Instance>> instances) {
    this.self = self;
    this.loop = loop;
    this.transport = transport;
    this.source = source;
    this.sink = sink;
    this.random = random;
    this.instances = instances;
  }

  /** The last document that was asked for, compressed once for all who ask. Thread safe. */
  private static final class CompressedDocument {
    private long generation;
    private byte[] bytes;

    private synchronized byte[] of(ConfigurationDocument document) {
      if (bytes == null || generation != document.generation()) {
        bytes = DocumentCodec.encode(document);
        generation = document.generation();
      }
      return bytes;
    }
  }

  /** Answers a peer's request. */
  CompletableFuture<PeerMessage> answer(PeerMessage.ConfigurationRequest request) {
    ConfigurationDocument document = source.current();
    Optional<byte[]> bytes =
        document.generation() > request.generation()
            ? Optional.of(compressed.of(document))
            : Optional.empty();
    return CompletableFuture.completedFuture(
        new PeerMessage.ConfigurationAnswer(document.generation(), bytes));
  }

  /** Fetches the document of a generation that a peer has, if it is still newer than ours. */
  void generationObserved(Instance holder, long generation) {
    if (generation <= source.current().generation() || requestPending) {
      return;
    }
    if (isLocal(holder) || isGateway()) {
      fetch(holder);
      return;
    }
    if (generation > remoteGeneration) {
      remoteGeneration = generation;
      long delay = REMOTE_DELAY_MILLISECONDS + random.nextLong(REMOTE_DELAY_MILLISECONDS);
      loop.schedule(() -> fetchIfNewer(holder, generation), delay, TimeUnit.MILLISECONDS);
    }
  }

  private void fetchIfNewer(Instance holder, long generation) {
    remoteGeneration = 0;
    if (generation > source.current().generation() && !requestPending) {
      fetch(holder);
    }
  }

  private boolean isLocal(Instance holder) {
    return holder.failureDomain().region().equals(self.failureDomain().region());
  }

  private boolean isGateway() {
    List<Instance> region = instances.get().stream().filter(this::isLocal).toList();
    return RendezvousHash.first(region, "configuration", GATEWAYS).stream()
        .anyMatch(instance -> instance.id().equals(self.id()));
  }

  private void fetch(Instance holder) {
    requestPending = true;
    requests++;
    long generation = source.current().generation();
    transport
        .request(holder.peerAddress(), new PeerMessage.ConfigurationRequest(generation))
        .orTimeout(REQUEST_MILLISECONDS, TimeUnit.MILLISECONDS)
        .whenCompleteAsync((answer, failure) -> fetched(holder, answer, failure), loop);
  }

  private void fetched(Instance holder, PeerMessage answer, Throwable failure) {
    requestPending = false;
    if (failure != null) {
      LOGGER.debug("no configuration from peer={}", holder.id(), failure);
      return;
    }
    if (answer instanceof PeerMessage.ConfigurationAnswer configuration) {
      configuration.document().ifPresent(bytes -> adopt(holder, bytes));
    }
  }

  private void adopt(Instance holder, byte[] bytes) {
    ConfigurationDocument document = DocumentCodec.decode(bytes);
    LOGGER.info(
        "configuration learnt from peer={} generation={} bytes={}",
        holder.id(),
        document.generation(),
        bytes.length);
    sink.offer(document);
  }

  /** Returns the number of requests that were made. */
  long requests() {
    return requests;
  }
}
