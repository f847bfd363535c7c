package org.agatefield.daemon.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The adapters that take a place at one runner, written as {@code model/adapter}.
 *
 * <p>Invariant: an adapter that was told to go keeps its place until the runner confirmed that it
 * is gone. Confined to one event loop.
 */
final class AdapterSlots {
  private static final long KEEP_MILLISECONDS = 4_000; // instances trust a confirmation for less

  private final Map<String, Place> places = new HashMap<>();
  private int slots;

  private static final class Place {
    private long usedAt;
    private boolean leaving;
  }

  void setSlots(int count) {
    slots = count;
  }

  int slots() {
    return slots;
  }

  int taken() {
    return places.size();
  }

  boolean holds(String adapter) {
    return places.containsKey(adapter);
  }

  /** Notes that an adapter is wanted; returns whether it is there and stays. */
  boolean use(String adapter, long now) {
    Place place = places.get(adapter);
    if (place == null || place.leaving) {
      return false;
    }
    place.usedAt = now;
    return true;
  }

  void loaded(String adapter, long now) {
    Place place = places.computeIfAbsent(adapter, ignored -> new Place());
    place.usedAt = now;
    place.leaving = false;
  }

  /** Chooses the adapter that was unused for longest to go; empty if all are in use. */
  Optional<String> release(long now) {
    Optional<Map.Entry<String, Place>> oldest =
        places.entrySet().stream()
            .filter(entry -> !entry.getValue().leaving)
            .min(Comparator.comparingLong(entry -> entry.getValue().usedAt));
    if (oldest.isEmpty() || now - oldest.get().getValue().usedAt < KEEP_MILLISECONDS) {
      return Optional.empty();
    }
    oldest.get().getValue().leaving = true;
    return Optional.of(oldest.get().getKey());
  }

  /** The runner kept an adapter that was told to go. */
  void keep(String adapter) {
    Place place = places.get(adapter);
    if (place != null) {
      place.leaving = false;
    }
  }

  void gone(String adapter) {
    places.remove(adapter);
  }

  void forgetModel(String model) {
    places.keySet().removeIf(adapter -> adapter.startsWith(model + '/'));
  }

  /** Takes in what the runner says it has or is loading. */
  void reported(Set<String> present) {
    places.keySet().retainAll(present);
    present.forEach(adapter -> places.computeIfAbsent(adapter, ignored -> new Place()));
  }

  void clear() {
    places.clear();
  }
}
