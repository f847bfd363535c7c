package org.agatefield.daemon.quarantine;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Distinguishes crashes of upstreams from the loss of single connections.
 *
 * <p>An upstream has crashed if a connection to it was lost and it then refuses connections, it
 * disappears, or another process takes its place. Upstreams that are leaving do not crash.
 * Invariant: each crash is reported with the traits of all requests that were lost with it before
 * their responses had begun; requests whose loss is noticed later are reported separately with the
 * same process. Confined to one event loop.
 */
public final class CrashDetector {
  private static final Logger LOGGER = LogManager.getLogger(CrashDetector.class);
  // The connections of a process are closed within milliseconds of each other.
  private static final long COLLECTION_MILLISECONDS = 20;
  // Entries of crashed runners disappear after three missed heartbeats.
  private static final long RETENTION_MILLISECONDS = 10_000;
  // A probe takes one round trip, unless nothing answers.
  private static final long MAXIMUM_EXAMINATION_MILLISECONDS = 100;

  private final Vertx vertx;
  private final ConnectionProbe probe;
  private final LongSupplier clock;
  private final BiConsumer<UpstreamProcess, Map<String, Integer>> onCrash;
  private final Map<String, Loss> losses = new HashMap<>(); // By upstream identifier.

  /** The connections to one process that were lost. */
  private static final class Loss {
    private final UpstreamProcess process;
    private final long at;
    private final Map<String, Integer> positions = new HashMap<>();
    private final List<Runnable> awaitingExamination = new ArrayList<>();
    private int requests;
    private boolean disconnected;
    private boolean crashed;
    private boolean examining;

    Loss(UpstreamProcess process, long at) {
      this.process = process;
      this.at = at;
    }
  }

  /**
   * Creates a detector.
   *
   * @param clock returns monotonic milliseconds
   * @param onCrash receives the crashed process and the traits of the requests lost with it, with
   *     the greatest position of each
   */
  public CrashDetector(
      Vertx vertx,
      ConnectionProbe probe,
      LongSupplier clock,
      BiConsumer<UpstreamProcess, Map<String, Integer>> onCrash) {
    this.vertx = vertx;
    this.probe = probe;
    this.clock = clock;
    this.onCrash = onCrash;
  }

  /**
   * Records that a request was lost with its connection before its response had begun.
   *
   * @param traits its traits in order
   * @param onExamined called once, as soon as it is known whether the process has crashed, or
   *     cannot be known soon
   */
  public void disconnected(UpstreamProcess process, List<String> traits, Runnable onExamined) {
    if (process.leaving()) {
      onExamined.run();
      return;
    }
    lost(process, traits, true).awaitingExamination.add(onExamined);
  }

  /**
   * Records that the upstream has sent nothing for a request for too long; it may have crashed.
   *
   * @param traits its traits in order
   */
  public void stalled(UpstreamProcess process, List<String> traits) {
    if (!process.leaving()) {
      lost(process, traits, false);
    }
  }

  private Loss lost(UpstreamProcess process, List<String> traits, boolean disconnected) {
    long now = clock.getAsLong();
    losses.values().removeIf(loss -> now - loss.at > RETENTION_MILLISECONDS);
    Loss loss = losses.get(process.upstream());
    if (loss == null || loss.process.startTimeMilliseconds() != process.startTimeMilliseconds()) {
      loss = new Loss(process, now);
      losses.put(process.upstream(), loss);
    }
    for (int position = 0; position < traits.size(); position++) {
      loss.positions.merge(traits.get(position), position, Math::max);
    }
    loss.requests++;
    loss.disconnected |= disconnected;
    if (!loss.examining) {
      loss.examining = true;
      Loss reported = loss;
      vertx.setTimer(COLLECTION_MILLISECONDS, fired -> examine(reported));
    }
    return loss;
  }

  /** Records that another process of an upstream has started. */
  public void replaced(String upstream, long startTimeMilliseconds) {
    Loss loss = losses.get(upstream);
    if (loss != null && loss.process.startTimeMilliseconds() != startTimeMilliseconds) {
      confirm(loss, "another process");
    }
  }

  /** Records that an upstream has disappeared. */
  public void gone(String upstream) {
    Loss loss = losses.get(upstream);
    if (loss != null) {
      confirm(loss, "entry gone");
    }
  }

  private void examine(Loss loss) {
    if (loss.crashed) {
      report(loss, "later loss");
      examined(loss);
      return;
    }
    vertx.setTimer(MAXIMUM_EXAMINATION_MILLISECONDS, fired -> examined(loss));
    probe
        .probe(loss.process.address())
        .onSuccess(
            result -> {
              probed(loss, result);
              examined(loss);
            });
  }

  private void probed(Loss loss, ConnectionProbe.Result result) {
    loss.examining = false;
    if (result == ConnectionProbe.Result.REFUSED) {
      confirm(loss, "connection refused");
      return;
    }
    if (!loss.disconnected && result == ConnectionProbe.Result.LISTENING) {
      losses.remove(loss.process.upstream(), loss); // It was only slow.
    } else {
      LOGGER.info(
          "runner={} lost_requests={} crashed=unknown probe={}",
          loss.process.upstream(),
          loss.requests,
          result);
    }
  }

  private static void examined(Loss loss) {
    List<Runnable> awaiting = List.copyOf(loss.awaitingExamination);
    loss.awaitingExamination.clear();
    awaiting.forEach(Runnable::run);
  }

  private void confirm(Loss loss, String evidence) {
    if (!loss.crashed) {
      loss.crashed = true;
      report(loss, evidence);
    }
  }

  private void report(Loss loss, String evidence) {
    loss.examining = false;
    LOGGER.info(
        "runner={} born={} crashed=true evidence=\"{}\" lost_requests={} traits={}",
        loss.process.upstream(),
        loss.process.startTimeMilliseconds(),
        evidence,
        loss.requests,
        loss.positions.keySet());
    onCrash.accept(loss.process, Map.copyOf(loss.positions));
  }
}
