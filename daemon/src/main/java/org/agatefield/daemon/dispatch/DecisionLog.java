package org.agatefield.daemon.dispatch;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.routing.Candidate;
import org.agatefield.routing.Choice;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs routing decisions and retains the most recent ones for {@code agatefieldctl explain}.
 *
 * <p>Invariant: retains at most {@link #MAXIMUM_DECISIONS} decisions, only the latest one of each
 * request. Thread-safe.
 */
final class DecisionLog {
  static final int MAXIMUM_DECISIONS = 2_048;

  private static final Logger LOGGER = LogManager.getLogger(DecisionLog.class);

  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAXIMUM_DECISIONS;
        }
      };

  /** A retained decision; it is formatted only when it is queried. */
  private record Entry(
      String requestId,
      long milliseconds,
      long attempt,
      String target,
      Optional<String> chosen,
      List<Candidate> candidates,
      String reason) {}

  void chosen(
      String requestId, long attempt, String target, Choice choice, List<Candidate> candidates) {
    String upstream = choice.candidate().upstream();
    LOGGER.info(
        "routing request={} attempt={} target={} chosen={} from={} {}",
        requestId,
        attempt,
        target,
        upstream,
        candidates.size(),
        choice.reason());
    store(
        new Entry(
            requestId,
            System.currentTimeMillis(),
            attempt,
            target,
            Optional.of(upstream),
            candidates,
            choice.reason()));
  }

  void refused(String requestId, String target, String reason) {
    LOGGER.info("routing request={} target={} chosen=none {}", requestId, target, reason);
    long milliseconds = System.currentTimeMillis();
    store(new Entry(requestId, milliseconds, 0, target, Optional.empty(), List.of(), reason));
  }

  void ejected(String upstream, DispatchOutcome outcome) {
    LOGGER.warn("routing upstream={} ejected=true last_outcome={}", upstream, outcome);
  }

  Optional<RoutingExplanation> explain(String requestId) {
    synchronized (entries) {
      return Optional.ofNullable(entries.get(requestId)).map(DecisionLog::explanation);
    }
  }

  private void store(Entry entry) {
    synchronized (entries) {
      entries.remove(entry.requestId());
      entries.put(entry.requestId(), entry);
    }
  }

  private static RoutingExplanation explanation(Entry entry) {
    List<String> candidates = entry.candidates().stream().map(DecisionLog::describe).toList();
    return new RoutingExplanation(
        entry.requestId(),
        Instant.ofEpochMilli(entry.milliseconds()),
        entry.attempt(),
        entry.target(),
        entry.chosen(),
        candidates,
        entry.reason());
  }

  private static String describe(Candidate candidate) {
    return String.format(
        "%s region=%s outstanding=%d limit=%d draining=%b adapter_loaded=%b",
        candidate.upstream(),
        candidate.region(),
        candidate.outstanding(),
        candidate.limit(),
        candidate.draining(),
        candidate.adapterLoaded());
  }
}
