package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.forwarding.LoadedModel;
import org.agatefield.forwarding.RunnerEntry;

/**
 * Tracks which models and adapters this instance assumes to be loaded on each runner.
 *
 * <p>Models are taken from runner entries and assumed absent for a while after a runner has
 * reported one missing. An adapter is assumed present for a while after the planner has confirmed
 * it, and while the runner's entry lists it, unless the runner or the planner has said since that
 * it is absent. Confined to one event loop.
 */
final class ModelPresence {
  // The planner retains an adapter at least this long after its last use.
  private static final long ADAPTER_CONFIRMATION_MILLISECONDS = 2_500;
  // Entries are updated within a heartbeat.
  private static final long MODEL_ABSENCE_MILLISECONDS = 700;

  // An unload waits for the model's requests; the entry is updated when the unload is complete.
  private static final long WITHDRAWAL_MILLISECONDS = 5_000;

  // Loads slow down when many run concurrently.
  private static final long LOAD_DELAY_TOLERANCE_MILLISECONDS = 2_000;

  private final Map<String, Map<String, Long>> modelsExpectedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> adaptersConfirmedAt = new HashMap<>();
  private final Map<String, Set<String>> adaptersListed = new HashMap<>();
  private final Map<String, Set<String>> adaptersDistrusted = new HashMap<>();
  private final Map<String, Map<String, Long>> modelsMissingAt = new HashMap<>();
  private final Map<String, Set<String>> modelsAnnounced = new HashMap<>();

  void confirmAdapter(String runner, String model, String adapter, long now) {
    adaptersConfirmedAt
        .computeIfAbsent(runner, ignored -> new HashMap<>())
        .put(model + '/' + adapter, now);
    adaptersDistrusted.getOrDefault(runner, new HashSet<>()).remove(model + '/' + adapter);
  }

  void markAdapterMissing(String runner, String model, String adapter) {
    distrustAdapter(runner, model + '/' + adapter);
  }

  /** Records that an adapter, written as {@code model/adapter}, is or may soon be absent. */
  private void distrustAdapter(String runner, String adapter) {
    adaptersConfirmedAt.getOrDefault(runner, new HashMap<>()).remove(adapter);
    if (adaptersListed.getOrDefault(runner, Set.of()).contains(adapter)) {
      adaptersDistrusted.computeIfAbsent(runner, ignored -> new HashSet<>()).add(adapter);
    }
  }

  boolean hasAdapter(String runner, String model, String adapter, long now) {
    String key = model + '/' + adapter;
    Long at = adaptersConfirmedAt.getOrDefault(runner, Map.of()).get(key);
    boolean confirmed = at != null && now - at < ADAPTER_CONFIRMATION_MILLISECONDS;
    boolean listed =
        adaptersListed.getOrDefault(runner, Set.of()).contains(key)
            && !adaptersDistrusted.getOrDefault(runner, Set.of()).contains(key);
    return confirmed || listed;
  }

  void markModelMissing(String runner, String model, long now) {
    modelsMissingAt.computeIfAbsent(runner, ignored -> new HashMap<>()).put(model, now);
    modelsAnnounced.getOrDefault(runner, new HashSet<>()).remove(model);
  }

  /** Records the planner's announcement that a runner has loaded a model, ahead of its entry. */
  void announceModel(String runner, String model) {
    modelsAnnounced.computeIfAbsent(runner, ignored -> new HashSet<>()).add(model);
    modelsMissingAt.getOrDefault(runner, new HashMap<>()).remove(model);
    modelsExpectedAt.getOrDefault(model, new HashMap<>()).remove(runner);
  }

  /** Records the planner's announcement that a runner is loading a model. */
  void expectModel(String runner, String model, long readyAt) {
    modelsExpectedAt.computeIfAbsent(model, ignored -> new HashMap<>()).put(runner, readyAt);
  }

  /**
   * Returns the earliest time at which a runner is expected to have loaded the model; empty if none
   * is loading it.
   */
  OptionalLong expectedAt(String model, long now) {
    Map<String, Long> expected = modelsExpectedAt.getOrDefault(model, new HashMap<>());
    expected.values().removeIf(at -> now - at > LOAD_DELAY_TOLERANCE_MILLISECONDS);
    return expected.values().stream().mapToLong(Long::longValue).min();
  }

  /**
   * Records the planner's announcement that a runner is about to unload a model, or an adapter that
   * is written as {@code model/adapter}.
   */
  void withdraw(String runner, String model, long now) {
    if (model.contains("/")) {
      distrustAdapter(runner, model);
      return;
    }
    modelsMissingAt
        .computeIfAbsent(runner, ignored -> new HashMap<>())
        .put(model, now + WITHDRAWAL_MILLISECONDS - MODEL_ABSENCE_MILLISECONDS);
    modelsAnnounced.getOrDefault(runner, new HashSet<>()).remove(model);
  }

  boolean hasModel(RunnerEntry entry, String model, long now) {
    boolean reported =
        entry.holds(model) || modelsAnnounced.getOrDefault(entry.id(), Set.of()).contains(model);
    Long missing = modelsMissingAt.getOrDefault(entry.id(), Map.of()).get(model);
    return reported && (missing == null || now - missing >= MODEL_ABSENCE_MILLISECONDS);
  }

  /** Removes expired absences and the announcements that the runner's entry now confirms. */
  void entryChanged(RunnerEntry entry, long now) {
    modelsMissingAt
        .getOrDefault(entry.id(), new HashMap<>())
        .values()
        .removeIf(at -> now - at >= MODEL_ABSENCE_MILLISECONDS);
    modelsAnnounced.getOrDefault(entry.id(), new HashSet<>()).removeIf(entry::holds);
    Set<String> listed = new HashSet<>();
    for (LoadedModel model : entry.models().orElse(List.of())) {
      model.adapters().forEach(adapter -> listed.add(model.name() + '/' + adapter));
    }
    adaptersListed.put(entry.id(), listed);
    adaptersDistrusted.getOrDefault(entry.id(), new HashSet<>()).retainAll(listed);
  }

  void forget(String runner) {
    modelsExpectedAt.values().forEach(expected -> expected.remove(runner));
    adaptersConfirmedAt.remove(runner);
    adaptersListed.remove(runner);
    adaptersDistrusted.remove(runner);
    modelsMissingAt.remove(runner);
    modelsAnnounced.remove(runner);
  }
}
