package org.agatefield.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which adapters of each model are asked for, so that they can be loaded with the model.
 *
 * <p>Invariant: only adapters that were asked for lately are kept, at most {@link
 * #MAXIMUM_ADAPTERS}, and none whose name and model together exceed {@link
 * #MAXIMUM_NAME_CHARACTERS}, as clients can name any. Confined to one thread.
 */
public final class AdapterUse {
  private static final double WINDOW_MILLISECONDS = 20_000; // several uses of a common adapter
  private static final double SMALLEST_USE = 0.05; // a single use three windows ago
  private static final int MAXIMUM_ADAPTERS = 4_096;
  private static final int MAXIMUM_NAME_CHARACTERS = 256;

  private final Map<String, Map<String, Use>> uses = new HashMap<>();
  private int size;

  private record Use(double count, long atMilliseconds) {
    double countAt(long now) {
      return count * Math.exp(-Math.max(0, now - atMilliseconds) / WINDOW_MILLISECONDS);
    }
  }

  /** Records that an adapter was asked for. */
  public void used(String model, String adapter, long nowMilliseconds) {
    if (model.length() + adapter.length() > MAXIMUM_NAME_CHARACTERS) {
      return;
    }
    if (size >= MAXIMUM_ADAPTERS) {
      forgetUnused(nowMilliseconds);
    }
    Map<String, Use> ofModel = uses.computeIfAbsent(model, ignored -> new HashMap<>());
    Use before = ofModel.get(adapter);
    if (before == null && size >= MAXIMUM_ADAPTERS) {
      return;
    }
    size += before == null ? 1 : 0;
    double count = before == null ? 0 : before.countAt(nowMilliseconds);
    ofModel.put(adapter, new Use(count + 1, nowMilliseconds));
  }

  /** Returns the adapters of a model that were asked for lately, the most used first. */
  public List<String> mostUsed(String model, long nowMilliseconds) {
    return uses.getOrDefault(model, Map.of()).entrySet().stream()
        .filter(each -> each.getValue().countAt(nowMilliseconds) >= SMALLEST_USE)
        .sorted(
            (first, second) ->
                Double.compare(
                    second.getValue().countAt(nowMilliseconds),
                    first.getValue().countAt(nowMilliseconds)))
        .map(Map.Entry::getKey)
        .toList();
  }

  private void forgetUnused(long now) {
    uses.values().forEach(each -> each.values().removeIf(use -> use.countAt(now) < SMALLEST_USE));
    uses.values().removeIf(Map::isEmpty);
    size = uses.values().stream().mapToInt(Map::size).sum();
  }
}
