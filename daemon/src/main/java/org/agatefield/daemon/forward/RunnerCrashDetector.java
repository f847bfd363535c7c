package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.agatefield.forwarding.RunnerEntry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Distinguishes crashes of runners from the loss of single connections.
 *
 * <p>A runner has crashed if a connection to it was lost and it then refuses connections, its entry
 * disappears, or another process takes its place. Runners that are leaving do not crash. Invariant:
 * each crash is reported with the prompt parts of all requests that were lost with it before their
 * responses had begun; requests whose loss is noticed later are reported separately with the same
 * runner. Confined to one event loop.
 */
final class RunnerCrashDetector implements RunnerDirectory.Listener {
  private static final Logger LOGGER = LogManager.getLogger(RunnerCrashDetector.class);
  // The connections of a process are closed within milliseconds of each other.
  private static final long COLLECTION_MILLISECONDS = 20;
  // Entries of crashed runners disappear after three missed heartbeats.
  private static final long RETENTION_MILLISECONDS = 10_000;

  private final Vertx vertx;
  private final ConnectionProbe probe;
  private final LongSupplier clock;
  private final BiConsumer<RunnerEntry, Map<String, Integer>> onCrash;
  private final Map<String, Loss> losses = new HashMap<>(); // By runner identifier.

  /** The connections that one process of a runner has lost. */
  private static final class Loss {
    private final RunnerEntry runner;
    private final long at;
    private final Map<String, Integer> positions = new HashMap<>();
    private int requests;
    private boolean disconnected;
    private boolean crashed;
    private boolean examining;

    Loss(RunnerEntry runner, long at) {
      this.runner = runner;
      this.at = at;
    }
  }

  /**
   * Creates a detector.
   *
   * @param clock returns monotonic milliseconds
   * @param onCrash receives the crashed runner and the parts of the prompts lost with it, with the
   *     greatest position of each
   */
  RunnerCrashDetector(
      Vertx vertx,
      ConnectionProbe probe,
      LongSupplier clock,
      BiConsumer<RunnerEntry, Map<String, Integer>> onCrash) {
    this.vertx = vertx;
    this.probe = probe;
    this.clock = clock;
    this.onCrash = onCrash;
  }

  /**
   * Records that a request was lost with its connection before its response had begun.
   *
   * @param parts the parts of its prompt in order
   */
  void disconnected(RunnerEntry runner, List<String> parts) {
    lost(runner, parts, true);
  }

  /**
   * Records that the runner has sent nothing for a request for too long; it may have crashed.
   *
   * @param parts the parts of its prompt in order
   */
  void stalled(RunnerEntry runner, List<String> parts) {
    lost(runner, parts, false);
  }

  private void lost(RunnerEntry runner, List<String> parts, boolean disconnected) {
    if (runner.draining()) {
      return;
    }
    long now = clock.getAsLong();
    losses.values().removeIf(loss -> now - loss.at > RETENTION_MILLISECONDS);
    Loss loss = losses.get(runner.id());
    if (loss == null || loss.runner.startTimeMilliseconds() != runner.startTimeMilliseconds()) {
      loss = new Loss(runner, now);
      losses.put(runner.id(), loss);
    }
    for (int position = 0; position < parts.size(); position++) {
      loss.positions.merge(parts.get(position), position, Math::max);
    }
    loss.requests++;
    loss.disconnected |= disconnected;
    if (!loss.examining) {
      loss.examining = true;
      Loss reported = loss;
      vertx.setTimer(COLLECTION_MILLISECONDS, fired -> examine(reported));
    }
  }

  @Override
  public void runnerChanged(RunnerEntry entry, boolean newProcess) {
    Loss loss = losses.get(entry.id());
    if (newProcess
        && loss != null
        && loss.runner.startTimeMilliseconds() != entry.startTimeMilliseconds()) {
      confirm(loss, "another process");
    }
  }

  @Override
  public void runnerGone(String id) {
    Loss loss = losses.get(id);
    if (loss != null) {
      confirm(loss, "entry gone");
    }
  }

  private void examine(Loss loss) {
    if (loss.crashed) {
      report(loss, "later loss");
      return;
    }
    probe
        .probe(loss.runner.address())
        .onSuccess(
            result -> {
              loss.examining = false;
              if (result == ConnectionProbe.Result.REFUSED) {
                confirm(loss, "connection refused");
                return;
              }
              if (!loss.disconnected && result == ConnectionProbe.Result.LISTENING) {
                losses.remove(loss.runner.id(), loss); // It was only slow.
              } else {
                LOGGER.info(
                    "runner={} lost_requests={} crashed=unknown probe={}",
                    loss.runner.id(),
                    loss.requests,
                    result);
              }
            });
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
        "runner={} born={} crashed=true evidence=\"{}\" lost_requests={} parts={}",
        loss.runner.id(),
        loss.runner.startTimeMilliseconds(),
        evidence,
        loss.requests,
        loss.positions.keySet());
    onCrash.accept(loss.runner, Map.copyOf(loss.positions));
  }
}
