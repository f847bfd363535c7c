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
 * The upstreams that are leaving: those of the platform's own list, and those that other instances
 * told of.
 *
 * <p>Invariants: a notice that is passed on never holds longer than the one it was taken from; only
 * an instance whose own list says so renews it, so that a notice dies out once all lists agree that
 * the upstream is back. Not safe for use by several threads; times are monotonic milliseconds.
 */
final class LeavingUpstreams {
  static final long NOTICE_MILLISECONDS = 60_000;
  static final int NOTICES_PER_MESSAGE = 8;
  private static final int MAXIMUM_NOTICES = 4_096;

  private final Map<String, Notice> notices = new HashMap<>();
  private final Set<String> knownUpstreams = new HashSet<>();
  private Set<String> listedUpstreams = Set.of();

  private static final class Notice {
    private long deadline;
    private int transmissionsLeft;
  }

  /** Takes the platform's list in place of the earlier one. */
  void listChanged(InstanceList.Snapshot snapshot, long now, int transmissions) {
    listedUpstreams = new TreeSet<>(snapshot.leavingUpstreams());
    listedUpstreams.addAll(removedUpstreams(snapshot));
    for (String name : snapshot.leavingUpstreams()) {
      Notice notice = notices.get(name);
      if (notice == null || notice.deadline - now < NOTICE_MILLISECONDS / 2) {
        put(name, now + NOTICE_MILLISECONDS, transmissions);
      }
    }
  }

  /**
   * Returns the upstreams that were on the list and are not any more; none while the list names no
   * live upstream, since it is then more likely to be incomplete.
   */
  private Set<String> removedUpstreams(InstanceList.Snapshot snapshot) {
    knownUpstreams.addAll(snapshot.liveUpstreams());
    knownUpstreams.addAll(snapshot.leavingUpstreams());
    if (snapshot.liveUpstreams().isEmpty()) {
      return Set.of();
    }
    Set<String> removedUpstreams = new HashSet<>(knownUpstreams);
    removedUpstreams.removeAll(snapshot.liveUpstreams());
    removedUpstreams.removeAll(snapshot.leavingUpstreams());
    return removedUpstreams;
  }

  /** Takes what another instance told of; returns whether anything was new. */
  boolean receiveNotices(List<PeerMessage.LeavingUpstream> received, long now, int transmissions) {
    boolean changed = false;
    for (PeerMessage.LeavingUpstream upstream : received) {
      long remaining = Math.min(upstream.remainingMilliseconds(), NOTICE_MILLISECONDS);
      Notice notice = notices.get(upstream.name());
      boolean later = notice == null || notice.deadline + NOTICE_MILLISECONDS / 4 < now + remaining;
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

  /** Returns the notices for the next message, those to be sent most often first. */
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

  /** Returns whether a notice still waits to be sent. */
  boolean hasPendingNotices() {
    return notices.values().stream().anyMatch(notice -> notice.transmissionsLeft > 0);
  }

  /** Returns the names of the upstreams that get no new work. */
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
