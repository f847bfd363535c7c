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
 * Writes one log line for each decision and keeps the last decisions.
 *
 * <p>Invariant: keeps at most {@link #KEPT_DECISIONS}, the latest one of each request. Safe for use
 * by any thread.
 */
final class DecisionLog {
  static final int KEPT_DECISIONS = 2_048;

  private static final Logger LOGGER = LogManager.getLogger(DecisionLog.class);

  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > KEPT_DECISIONS;
        }
      };

  /** A decision as it is kept; it is only put into words when somebody asks. */
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
    keep(
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
    keep(new Entry(requestId, milliseconds, 0, target, Optional.empty(), List.of(), reason));
  }

  void ejected(String upstream, DispatchOutcome outcome) {
    LOGGER.warn("routing upstream={} ejected=true last_outcome={}", upstream, outcome);
  }

  Optional<RoutingExplanation> explain(String requestId) {
    synchronized (entries) {
      return Optional.ofNullable(entries.get(requestId)).map(DecisionLog::explanation);
    }
  }

  private void keep(Entry entry) {
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
