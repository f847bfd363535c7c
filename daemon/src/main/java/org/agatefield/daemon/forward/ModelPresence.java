package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.forwarding.RunnerEntry;

/**
 * Which models and adapters this instance believes each runner to have.
 *
 * <p>Models come from entries, and are doubted for a while after a runner said that it lacks one.
 * Adapters are not in entries in time; they are believed for a while after the planner or an answer
 * confirmed them. Confined to one event loop.
 */
final class ModelPresence {
  // A planner keeps an adapter at least this long after it was last asked for.
  private static final long ADAPTER_CONFIRMATION_MILLISECONDS = 2_500;
  private static final long MODEL_DOUBT_MILLISECONDS = 700; // entries follow within a heartbeat

  // An unload waits for the model's requests; the entry follows when it is done.
  private static final long WITHDRAWAL_MILLISECONDS = 5_000;

  private static final long LATE_LOAD_MILLISECONDS = 2_000; // loads slow down when many run

  private final Map<String, Map<String, Long>> modelsExpectedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> adaptersConfirmedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> modelsDoubtedAt = new HashMap<>();
  private final Map<String, Set<String>> modelsAnnounced = new HashMap<>();

  void confirmAdapter(String runner, String model, String adapter, long now) {
    adaptersConfirmedAt
        .computeIfAbsent(runner, ignored -> new HashMap<>())
        .put(model + '/' + adapter, now);
  }

  void denyAdapter(String runner, String model, String adapter) {
    adaptersConfirmedAt.getOrDefault(runner, new HashMap<>()).remove(model + '/' + adapter);
  }

  boolean hasAdapter(String runner, String model, String adapter, long now) {
    Long at = adaptersConfirmedAt.getOrDefault(runner, Map.of()).get(model + '/' + adapter);
    return at != null && now - at < ADAPTER_CONFIRMATION_MILLISECONDS;
  }

  void denyModel(String runner, String model, long now) {
    modelsDoubtedAt.computeIfAbsent(runner, ignored -> new HashMap<>()).put(model, now);
    modelsAnnounced.getOrDefault(runner, new HashSet<>()).remove(model);
  }

  /** The planner said that a runner has a model, before its entry does. */
  void announceModel(String runner, String model) {
    modelsAnnounced.computeIfAbsent(runner, ignored -> new HashSet<>()).add(model);
    modelsDoubtedAt.getOrDefault(runner, new HashMap<>()).remove(model);
    modelsExpectedAt.getOrDefault(model, new HashMap<>()).remove(runner);
  }

  /** The planner said that a runner is loading a model. */
  void expectModel(String runner, String model, long readyAt) {
    modelsExpectedAt.computeIfAbsent(model, ignored -> new HashMap<>()).put(runner, readyAt);
  }

  /** Returns when some runner is expected to have a model; empty if none is loading it. */
  OptionalLong expectedAt(String model, long now) {
    Map<String, Long> expected = modelsExpectedAt.getOrDefault(model, new HashMap<>());
    expected.values().removeIf(at -> now - at > LATE_LOAD_MILLISECONDS);
    return expected.values().stream().mapToLong(Long::longValue).min();
  }

  /** The planner said that a runner is about to drop a model. */
  void withdrawModel(String runner, String model, long now) {
    modelsDoubtedAt
        .computeIfAbsent(runner, ignored -> new HashMap<>())
        .put(model, now + WITHDRAWAL_MILLISECONDS - MODEL_DOUBT_MILLISECONDS);
    modelsAnnounced.getOrDefault(runner, new HashSet<>()).remove(model);
  }

  boolean hasModel(RunnerEntry entry, String model, long now) {
    boolean said =
        entry.holds(model) || modelsAnnounced.getOrDefault(entry.id(), Set.of()).contains(model);
    Long doubted = modelsDoubtedAt.getOrDefault(entry.id(), Map.of()).get(model);
    return said && (doubted == null || now - doubted >= MODEL_DOUBT_MILLISECONDS);
  }

  /** Forgets what an entry that names the models itself makes needless. */
  void entryChanged(RunnerEntry entry, long now) {
    modelsDoubtedAt
        .getOrDefault(entry.id(), new HashMap<>())
        .values()
        .removeIf(at -> now - at >= MODEL_DOUBT_MILLISECONDS);
    modelsAnnounced.getOrDefault(entry.id(), new HashSet<>()).removeIf(entry::holds);
  }

  void forget(String runner) {
    modelsExpectedAt.values().forEach(expected -> expected.remove(runner));
    adaptersConfirmedAt.remove(runner);
    modelsDoubtedAt.remove(runner);
    modelsAnnounced.remove(runner);
  }
}
