package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;

/**
 * Holds this member's view of the other members.
 *
 * <p>Invariants: the incarnation of an entry never decreases; a dead entry becomes alive only with
 * a higher incarnation, which only the member itself can issue; an entry becomes dead only when a
 * suspicion in this table has expired; a leaving member never becomes live again. Not thread-safe.
 */
final class MemberTable {
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private int deadCount;

  /** The entry of another member. */
  static final class Entry {
    private MemberUpdate update;
    private long suspicionDeadline;
    private long diedAt;

    MemberUpdate update() {
      return update;
    }

    boolean isDead() {
      return update.liveness() == Liveness.DEAD;
    }
  }

  Optional<Entry> get(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns the members that are alive or suspected, ordered by identifier. */
  List<MemberUpdate> present() {
    return entries.values().stream().filter(entry -> !entry.isDead()).map(Entry::update).toList();
  }

  List<MemberUpdate> dead() {
    return entries.values().stream().filter(Entry::isDead).map(Entry::update).toList();
  }

  int presentCount() {
    return entries.size() - deadCount;
  }

  /** Returns up to {@code count} present members with identifiers above {@code afterId}. */
  List<MemberUpdate> page(String afterId, int count) {
    return entries.tailMap(afterId, false).values().stream()
        .filter(entry -> !entry.isDead())
        .limit(count)
        .map(Entry::update)
        .toList();
  }

  /**
   * Merges an update.
   *
   * @param suspicionMilliseconds duration of a suspicion that starts now
   * @return whether the entry changed, so that the update should be spread
   */
  boolean merge(MemberUpdate update, long now, long suspicionMilliseconds) {
    Entry entry = entries.get(update.id());
    if (entry == null) {
      insert(update, now, suspicionMilliseconds);
      return update.liveness() != Liveness.DEAD;
    }
    if (update.incarnation() > entry.update.incarnation()) {
      replace(entry, update, now, suspicionMilliseconds);
      return true;
    }
    if (update.incarnation() < entry.update.incarnation()
        || update.liveness() == Liveness.ALIVE
        || entry.update.liveness() != Liveness.ALIVE) {
      return false;
    }
    startSuspicion(entry, now + suspicionMilliseconds);
    return true;
  }

  /** Suspects a member that is believed to be alive; returns whether the entry changed. */
  boolean suspect(String id, long deadline) {
    Entry entry = entries.get(id);
    if (entry == null || entry.update.liveness() != Liveness.ALIVE) {
      return false;
    }
    startSuspicion(entry, deadline);
    return true;
  }

  /** Declares members with expired suspicions dead and returns them. */
  List<MemberUpdate> expireSuspicions(long now) {
    List<MemberUpdate> expired = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.update.liveness() == Liveness.SUSPECT && entry.suspicionDeadline <= now) {
        declareDead(entry, now);
        expired.add(entry.update);
      }
    }
    return expired;
  }

  /** Extends every suspicion after this process was paused. */
  void postponeSuspicions(long milliseconds) {
    for (Entry entry : entries.values()) {
      entry.suspicionDeadline += milliseconds;
    }
  }

  /** Removes members that died before {@code time}, and the oldest beyond {@code maximum}. */
  void removeDead(long time, int maximum) {
    if (deadCount == 0) {
      return;
    }
    entries.values().removeIf(entry -> entry.isDead() && entry.diedAt < time);
    List<Entry> dead = new ArrayList<>(entries.values().stream().filter(Entry::isDead).toList());
    dead.sort(Comparator.comparingLong(entry -> entry.diedAt));
    int excess = Math.max(0, dead.size() - maximum);
    dead.subList(0, excess).forEach(entry -> entries.remove(entry.update.id()));
    deadCount = dead.size() - excess;
  }

  private void insert(MemberUpdate update, long now, long suspicionMilliseconds) {
    Entry entry = new Entry();
    entry.update = with(update, Liveness.ALIVE);
    entries.put(update.id(), entry);
    if (update.liveness() == Liveness.SUSPECT) {
      startSuspicion(entry, now + suspicionMilliseconds);
    }
    if (update.liveness() == Liveness.DEAD) {
      declareDead(entry, now);
    }
  }

  private void replace(Entry entry, MemberUpdate update, long now, long suspicionMilliseconds) {
    final boolean wasDead = entry.isDead();
    MemberUpdate merged = preserveLeaving(entry.update, update);
    if (wasDead && update.liveness() != Liveness.ALIVE) {
      entry.update = with(merged, Liveness.DEAD);
      return;
    }
    if (wasDead) {
      deadCount--;
    }
    entry.update = with(merged, Liveness.ALIVE);
    if (update.liveness() != Liveness.ALIVE) {
      startSuspicion(entry, now + suspicionMilliseconds);
    }
  }

  private static void startSuspicion(Entry entry, long deadline) {
    entry.update = with(entry.update, Liveness.SUSPECT);
    entry.suspicionDeadline = deadline;
  }

  private void declareDead(Entry entry, long now) {
    entry.update = with(entry.update, Liveness.DEAD);
    entry.diedAt = now;
    deadCount++;
  }

  private static MemberUpdate preserveLeaving(MemberUpdate before, MemberUpdate after) {
    if (before.instance().state() != InstanceState.LEAVING) {
      return after;
    }
    return new MemberUpdate(leaving(after.instance()), after.incarnation(), after.liveness());
  }

  static Instance leaving(Instance instance) {
    return new Instance(
        instance.id(),
        instance.callerAddress(),
        instance.peerAddress(),
        instance.failureDomain(),
        InstanceState.LEAVING);
  }

  private static MemberUpdate with(MemberUpdate update, Liveness liveness) {
    return new MemberUpdate(update.instance(), update.incarnation(), liveness);
  }

  /** Returns an order-independent hash of {@code members}. */
  static long hash(Collection<MemberUpdate> members) {
    long hash = 0;
    for (MemberUpdate member : members) {
      long state = member.instance().state() == InstanceState.LEAVING ? 1 : 0;
      hash += mix(member.id().hashCode() * 31L + member.incarnation() * 2 + state);
    }
    return hash;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
