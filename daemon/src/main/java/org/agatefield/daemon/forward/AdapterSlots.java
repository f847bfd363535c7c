package org.agatefield.daemon.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the adapters that occupy slots of one runner, written as {@code model/adapter}.
 *
 * <p>Invariant: an adapter ordered to be unloaded, by itself or with its model, occupies its slot
 * until the runner confirms the unload. Confined to one event loop.
 */
final class AdapterSlots {
  // Instances tell of an adapter that they use more often than that.
  private static final long MINIMUM_RETENTION_MILLISECONDS = 1_500;

  private final Map<String, Slot> slotsByAdapter = new HashMap<>();
  private int slots;

  private static final class Slot {
    private long usedAt;
    private boolean unloading;
  }

  void setSlots(int count) {
    slots = count;
  }

  int slots() {
    return slots;
  }

  int used() {
    return slotsByAdapter.size();
  }

  boolean holds(String adapter) {
    return slotsByAdapter.containsKey(adapter);
  }

  /** Records the use of an adapter; returns whether it is loaded and not being unloaded. */
  boolean touch(String adapter, long now) {
    Slot slot = slotsByAdapter.get(adapter);
    if (slot == null || slot.unloading) {
      return false;
    }
    slot.usedAt = now;
    return true;
  }

  void loaded(String adapter, long now) {
    Slot slot = slotsByAdapter.computeIfAbsent(adapter, ignored -> new Slot());
    slot.usedAt = now;
    slot.unloading = false;
  }

  /** Selects the least recently used adapter for unloading; empty if all are in use. */
  Optional<String> evict(long now) {
    Optional<Map.Entry<String, Slot>> oldest =
        slotsByAdapter.entrySet().stream()
            .filter(entry -> !entry.getValue().unloading)
            .min(Comparator.comparingLong(entry -> entry.getValue().usedAt));
    if (oldest.isEmpty() || now - oldest.get().getValue().usedAt < MINIMUM_RETENTION_MILLISECONDS) {
      return Optional.empty();
    }
    oldest.get().getValue().unloading = true;
    return Optional.of(oldest.get().getKey());
  }

  /** Records that the runner did not unload an adapter. */
  void retain(String adapter) {
    Slot slot = slotsByAdapter.get(adapter);
    if (slot != null) {
      slot.unloading = false;
    }
  }

  void removed(String adapter) {
    slotsByAdapter.remove(adapter);
  }

  /** Records that a model is being unloaded; its adapters stay until its requests have ended. */
  void modelLeaves(String model) {
    slotsByAdapter.forEach((adapter, slot) -> slot.unloading |= modelOf(adapter).equals(model));
  }

  /** Records that the runner has unloaded all models but the given ones, with their adapters. */
  void retainModels(Set<String> models) {
    slotsByAdapter.keySet().removeIf(adapter -> !models.contains(modelOf(adapter)));
  }

  private static String modelOf(String adapter) {
    return adapter.split("/", 2)[0];
  }

  /** Applies the adapters that the runner reports as loaded or loading. */
  void reported(Set<String> present) {
    slotsByAdapter.keySet().retainAll(present);
    present.forEach(adapter -> slotsByAdapter.computeIfAbsent(adapter, ignored -> new Slot()));
  }

  void clear() {
    slotsByAdapter.clear();
  }
}
