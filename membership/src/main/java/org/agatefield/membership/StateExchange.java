package org.agatefield.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.agatefield.model.Address;

/**
 * Exchanges member tables with one other member, one page at a time. This joins new members, finds
 * members whose updates were lost, and merges regions after a network partition.
 *
 * <p>The receiver also answers with the entries that contradict the sender's page. Not thread-safe.
 */
final class StateExchange {
  private static final String START = "";

  private final MembershipSettings settings;
  private final MemberTable table;
  private final TargetSelector targets;

  StateExchange(MembershipSettings settings, MemberTable table, TargetSelector targets) {
    this.settings = settings;
    this.table = table;
    this.targets = targets;
  }

  /** Starts an exchange with a random present member. */
  void start(MemberUpdate self, Membership.Outbox outbox) {
    for (MemberUpdate target : targets.gossipTargets(table, 1)) {
      request(self, target.instance().peerAddress(), START, List.of(), outbox);
    }
  }

  /** Starts an exchange with a seed address that belongs to no present member. */
  void contactSeed(MemberUpdate self, List<Address> seeds, Membership.Outbox outbox) {
    Collection<Address> known = new ArrayList<>();
    known.add(self.instance().peerAddress());
    table.present().forEach(member -> known.add(member.instance().peerAddress()));
    List<Address> unknown = seeds.stream().filter(seed -> !known.contains(seed)).toList();
    for (Address seed : targets.pick(unknown, 1)) {
      request(self, seed, START, List.of(), outbox);
    }
  }

  /** Starts an exchange with a dead member, which refutes its death if it is alive. */
  void contactDead(MemberUpdate self, Membership.Outbox outbox) {
    for (MemberUpdate dead : targets.pick(table.dead(), 1)) {
      request(self, dead.instance().peerAddress(), START, List.of(dead), outbox);
    }
  }

  private void request(
      MemberUpdate self,
      Address address,
      String afterId,
      List<MemberUpdate> first,
      Membership.Outbox outbox) {
    List<MemberUpdate> page = table.page(afterId, settings.updatesPerPage());
    List<MemberUpdate> updates = new ArrayList<>(first);
    updates.addAll(page);
    boolean last = page.size() < settings.updatesPerPage();
    outbox.send(
        address, updates, new MembershipMessage.StateRequest(afterId, last, tableHash(self)));
  }

  void answer(
      MemberUpdate self,
      MembershipMessage message,
      MembershipMessage.StateRequest request,
      Membership.Outbox outbox) {
    Address address = message.sender().instance().peerAddress();
    List<MemberUpdate> contradictions = contradictions(message);
    if (request.tableHash() == tableHash(self)) {
      outbox.send(address, contradictions, new MembershipMessage.StateAnswer(START, false));
      return;
    }
    List<MemberUpdate> page = table.page(request.afterId(), settings.updatesPerPage());
    boolean last = page.size() < settings.updatesPerPage();
    String next = nextAfterId(message, request.lastPage(), page, last);
    TreeMap<String, MemberUpdate> updates = new TreeMap<>();
    page.forEach(update -> updates.put(update.id(), update));
    contradictions.forEach(update -> updates.put(update.id(), update));
    boolean more = !(last && request.lastPage());
    outbox.send(
        address, List.copyOf(updates.values()), new MembershipMessage.StateAnswer(next, more));
  }

  void continueExchange(
      MemberUpdate self,
      MembershipMessage message,
      MembershipMessage.StateAnswer answer,
      Membership.Outbox outbox) {
    if (answer.more()) {
      Address address = message.sender().instance().peerAddress();
      request(self, address, answer.nextAfterId(), List.of(), outbox);
    }
  }

  private static String nextAfterId(
      MembershipMessage message, boolean requestLast, List<MemberUpdate> page, boolean last) {
    String lastOfRequest =
        message.updates().isEmpty()
            ? START
            : message.updates().get(message.updates().size() - 1).id();
    String lastOfPage = page.isEmpty() ? START : page.get(page.size() - 1).id();
    if (requestLast) {
      return lastOfPage;
    }
    if (last) {
      return lastOfRequest;
    }
    return lastOfRequest.compareTo(lastOfPage) < 0 ? lastOfRequest : lastOfPage;
  }

  /** Returns this member's entries that take precedence over those of the sender. */
  private List<MemberUpdate> contradictions(MembershipMessage message) {
    List<MemberUpdate> found = new ArrayList<>();
    List<MemberUpdate> received = new ArrayList<>(message.updates());
    received.add(message.sender());
    for (MemberUpdate update : received) {
      table
          .get(update.id())
          .map(MemberTable.Entry::update)
          .filter(own -> takesPrecedence(own, update))
          .ifPresent(found::add);
    }
    return found;
  }

  private static boolean takesPrecedence(MemberUpdate own, MemberUpdate received) {
    if (own.incarnation() != received.incarnation()) {
      return own.incarnation() > received.incarnation();
    }
    return own.liveness().compareTo(received.liveness()) > 0;
  }

  private long tableHash(MemberUpdate self) {
    return MemberTable.hash(table.present()) + MemberTable.hash(List.of(self));
  }
}
