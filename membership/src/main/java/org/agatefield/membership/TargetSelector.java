package org.agatefield.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Instance;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the members to probe and to gossip with, mostly within the own region.
 *
 * <p>Probes follow a shuffled list, so that every member is probed once per round. Not thread-safe.
 */
final class TargetSelector {
  private final Instance self;
  private final double remoteShare;
  private final UniformRandomProvider random;
  private final Deque<String> localRound = new ArrayDeque<>();
  private final Deque<String> remoteRound = new ArrayDeque<>();

  TargetSelector(Instance self, double remoteShare, UniformRandomProvider random) {
    this.self = self;
    this.remoteShare = remoteShare;
    this.random = random;
  }

  /** Returns the member to probe next. */
  Optional<MemberUpdate> nextProbe(MemberTable table) {
    boolean remoteFirst = random.nextDouble() < remoteShare;
    Optional<MemberUpdate> first = nextOf(table, remoteFirst);
    return first.isPresent() ? first : nextOf(table, !remoteFirst);
  }

  private Optional<MemberUpdate> nextOf(MemberTable table, boolean remote) {
    Deque<String> round = remote ? remoteRound : localRound;
    if (round.isEmpty()) {
      List<String> identifiers = new ArrayList<>();
      table.present().stream()
          .filter(member -> isRemote(member) == remote)
          .forEach(member -> identifiers.add(member.id()));
      shuffle(identifiers);
      round.addAll(identifiers);
    }
    while (!round.isEmpty()) {
      Optional<MemberTable.Entry> entry = table.get(round.poll());
      if (entry.isPresent() && !entry.get().isDead()) {
        return entry.map(MemberTable.Entry::update);
      }
    }
    return Optional.empty();
  }

  /** Returns up to {@code count} different members to gossip with. */
  List<MemberUpdate> gossipTargets(MemberTable table, int count) {
    List<MemberUpdate> present = table.present();
    List<MemberUpdate> local = new ArrayList<>();
    List<MemberUpdate> remote = new ArrayList<>();
    present.forEach(member -> (isRemote(member) ? remote : local).add(member));
    List<MemberUpdate> chosen = new ArrayList<>();
    for (int each = 0; each < Math.min(count, present.size()); each++) {
      boolean wantRemote = random.nextDouble() < remoteShare;
      boolean useRemote = local.isEmpty() || wantRemote && !remote.isEmpty();
      List<MemberUpdate> from = useRemote ? remote : local;
      chosen.add(from.remove(random.nextInt(from.size())));
    }
    return chosen;
  }

  /** Returns up to {@code count} members that can relay a probe of {@code target}. */
  List<MemberUpdate> relays(MemberTable table, MemberUpdate target, int count) {
    List<MemberUpdate> candidates = new ArrayList<>();
    for (MemberUpdate member : table.present()) {
      if (!member.id().equals(target.id()) && member.liveness() == Liveness.ALIVE) {
        candidates.add(member);
      }
    }
    return pick(candidates, count);
  }

  /** Returns up to {@code count} elements of {@code from} in random order. */
  <T> List<T> pick(List<T> from, int count) {
    List<T> shuffled = new ArrayList<>(from);
    shuffle(shuffled);
    return shuffled.subList(0, Math.min(count, shuffled.size()));
  }

  private void shuffle(List<?> list) {
    for (int last = list.size() - 1; last > 0; last--) {
      Collections.swap(list, last, random.nextInt(last + 1));
    }
  }

  private boolean isRemote(MemberUpdate member) {
    String region = member.instance().failureDomain().region();
    return !region.equals(self.failureDomain().region());
  }
}
