package org.agatefield.daemon.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.InstanceList;

/**
 * Tracks the upstreams that are leaving, from the platform's list and from the notices of other
 * instances.
 *
 * <p>Invariants: a forwarded notice never expires later than the received one; only an instance
 * whose own list has the upstream as leaving renews a notice, so that notices expire once no list
 * has it as leaving any more. Not safe for use by several threads; times are monotonic
 * milliseconds.
 */
final class LeavingUpstreams {
  static final long NOTICE_LIFETIME_MILLISECONDS = 60_000;
  static final int NOTICES_PER_MESSAGE = 8;
  private static final int MAXIMUM_NOTICES = 4_096;

  private final Map<String, Notice> notices = new HashMap<>();
  private final Set<String> knownUpstreams = new HashSet<>();
  private Set<String> listedUpstreams = Set.of();

  private static final class Notice {
    private long deadline;
    private int transmissionsLeft;
  }

  /** Replaces the platform's list. */
  void listChanged(InstanceList.Snapshot snapshot, long now, int transmissions) {
    listedUpstreams = new TreeSet<>(snapshot.leavingUpstreams());
    listedUpstreams.addAll(removedFromList(snapshot));
    for (String name : snapshot.leavingUpstreams()) {
      Notice notice = notices.get(name);
      if (notice == null || notice.deadline - now < NOTICE_LIFETIME_MILLISECONDS / 2) {
        put(name, now + NOTICE_LIFETIME_MILLISECONDS, transmissions);
      }
    }
  }

  /**
   * Returns the upstreams that have been removed from the list; none while the list has no live
   * upstream, since it is then probably incomplete.
   */
  private Set<String> removedFromList(InstanceList.Snapshot snapshot) {
    knownUpstreams.addAll(snapshot.liveUpstreams());
    knownUpstreams.addAll(snapshot.leavingUpstreams());
    if (snapshot.liveUpstreams().isEmpty()) {
      return Set.of();
    }
    Set<String> removedFromList = new HashSet<>(knownUpstreams);
    removedFromList.removeAll(snapshot.liveUpstreams());
    removedFromList.removeAll(snapshot.leavingUpstreams());
    return removedFromList;
  }

  /**
   * Adds the notices of another instance; returns whether any of them was new or extended an
   * earlier one.
   */
  boolean addNotices(List<PeerMessage.LeavingUpstream> received, long now, int transmissions) {
    boolean changed = false;
    for (PeerMessage.LeavingUpstream upstream : received) {
      long remaining = Math.min(upstream.remainingMilliseconds(), NOTICE_LIFETIME_MILLISECONDS);
      Notice notice = notices.get(upstream.name());
      boolean later =
          notice == null || notice.deadline + NOTICE_LIFETIME_MILLISECONDS / 4 < now + remaining;
      if (remaining > 0 && later && notices.size() < MAXIMUM_NOTICES) {
        put(upstream.name(), now + remaining, transmissions);
        changed = true;
      }
    }
    return changed;
  }

  private void put(String name, long deadline, int transmissions) {
    Notice notice = notices.computeIfAbsent(name, absent -> new Notice());
    notice.deadline = deadline;
    notice.transmissionsLeft = transmissions;
  }

  /**
   * Returns the notices for the next message, those with the most remaining transmissions first.
   */
  List<PeerMessage.LeavingUpstream> nextNotices(long now) {
    notices.values().removeIf(notice -> notice.deadline <= now);
    List<Map.Entry<String, Notice>> pending = new ArrayList<>();
    for (Map.Entry<String, Notice> entry : notices.entrySet()) {
      if (entry.getValue().transmissionsLeft > 0) {
        pending.add(entry);
      }
    }
    pending.sort(Comparator.comparingInt(entry -> -entry.getValue().transmissionsLeft));
    List<PeerMessage.LeavingUpstream> next = new ArrayList<>();
    for (Map.Entry<String, Notice> entry :
        pending.subList(0, Math.min(NOTICES_PER_MESSAGE, pending.size()))) {
      Notice notice = entry.getValue();
      notice.transmissionsLeft--;
      next.add(new PeerMessage.LeavingUpstream(entry.getKey(), notice.deadline - now));
    }
    return next;
  }

  /** Returns whether any notice has transmissions left. */
  boolean hasPendingNotices() {
    return notices.values().stream().anyMatch(notice -> notice.transmissionsLeft > 0);
  }

  /** Returns the names of the upstreams that must not get new requests. */
  Set<String> names(long now) {
    Set<String> names = new TreeSet<>(listedUpstreams);
    notices.forEach(
        (name, notice) -> {
          if (notice.deadline > now) {
            names.add(name);
          }
        });
    return names;
  }
}
