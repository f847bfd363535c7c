package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News about members that is still to be sent, the least sent first.
 *
 * <p>Invariant: at most one piece of news for each member. Not safe for use by several threads.
 */
final class GossipQueue {
  private final Map<String, Item> items = new HashMap<>();
  private long arrivals;

  private static final class Item {
    private final MemberUpdate update;
    private final long arrival;
    private int transmissions;

    private Item(MemberUpdate update, long arrival) {
      this.update = update;
      this.arrival = arrival;
    }
  }

  void add(MemberUpdate update) {
    arrivals++;
    items.put(update.id(), new Item(update, arrivals));
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /** Takes up to {@code count} pieces; each is forgotten after {@code limit} transmissions. */
  List<MemberUpdate> take(int count, int limit) {
    if (items.isEmpty()) {
      return List.of();
    }
    List<Item> order = new ArrayList<>(items.values());
    order.sort(
        Comparator.<Item>comparingInt(item -> item.transmissions)
            .thenComparing(item -> item.arrival, Comparator.reverseOrder()));
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
