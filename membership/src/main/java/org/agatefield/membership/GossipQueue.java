package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queues member updates for gossip; those with the fewest transmissions are sent first.
 *
 * <p>Invariant: at most one update per member. Not thread-safe.
 */
final class GossipQueue {
  private final Map<String, Item> items = new HashMap<>();
  private long lastPosition;

  private static final class Item {
    private final MemberUpdate update;
    private final long position;
    private int transmissions;

    private Item(MemberUpdate update, long position) {
      this.update = update;
      this.position = position;
    }
  }

  void add(MemberUpdate update) {
    lastPosition++;
    items.put(update.id(), new Item(update, lastPosition));
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /** Returns up to {@code count} updates; each is removed after {@code limit} transmissions. */
  List<MemberUpdate> take(int count, int limit) {
    if (items.isEmpty()) {
      return List.of();
    }
    List<Item> order = new ArrayList<>(items.values());
    order.sort(
        Comparator.<Item>comparingInt(item -> item.transmissions)
            .thenComparing(item -> item.position, Comparator.reverseOrder()));
    List<MemberUpdate> taken = new ArrayList<>();
    for (Item item : order.subList(0, Math.min(count, order.size()))) {
      taken.add(item.update);
      item.transmissions++;
      if (item.transmissions >= limit) {
        items.remove(item.update.id());
      }
    }
    return taken;
  }
}
