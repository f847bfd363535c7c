package org.agatefield.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.Address;
import org.agatefield.model.Instance;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The state machine of one group member: handles events and returns the actions to take.
 *
 * <p>Invariants: a member is declared dead only after a suspicion that it had time to refute; a
 * dead member returns only with a higher incarnation that it issued; neither the number of messages
 * that a member starts per interval nor the size of a message depends on the number of members. Not
 * thread-safe; the caller passes events one at a time, with a monotonic time in milliseconds.
 */
public final class Membership {
  private final MembershipSettings settings;
  private final MemberTable table = new MemberTable();
  private final GossipQueue queue = new GossipQueue();
  private final LocalHealth health;
  private final TargetSelector targets;
  private final Schedule schedule;
  private final Prober prober;
  private final StateExchange exchange;
  private MemberUpdate self;
  private long generation;
  private int announcementsLeft;
  private long lastEvent;
  private List<Address> seeds = List.of();

  /**
   * Creates a member that knows no other members.
   *
   * @param self this member; its identifier must never have been used before
   * @param now the time in milliseconds on a monotonic clock
   */
  public Membership(
      Instance self, MembershipSettings settings, UniformRandomProvider random, long now) {
    this.settings = settings;
    this.self = new MemberUpdate(self, 0, Liveness.ALIVE);
    this.health = new LocalHealth(settings.maximumHealthScore());
    this.targets = new TargetSelector(self, settings.remoteShare(), random);
    this.schedule = new Schedule(settings, random, now);
    this.prober = new Prober(settings, table, health, targets);
    this.exchange = new StateExchange(settings, table, targets);
    this.lastEvent = now;
  }

  /** Handles one event and returns the actions to take, in order. */
  public List<MembershipAction> handle(MembershipEvent event, long now) {
    detectPause(now);
    Outbox outbox = new Outbox();
    if (event instanceof MembershipEvent.Tick) {
      tick(now, outbox);
    } else if (event instanceof MembershipEvent.Received received) {
      receive(received.message(), now, outbox);
    } else if (event instanceof MembershipEvent.SeedsChanged changed) {
      seeds = changed.addresses();
    } else if (event instanceof MembershipEvent.GenerationRaised raised) {
      raiseGeneration(raised.generation());
    } else if (event instanceof MembershipEvent.GossipRequested) {
      announce();
    } else if (event instanceof MembershipEvent.LeaveRequested) {
      leave(outbox);
    }
    return outbox.actions;
  }

  /** Returns this member's own entry. */
  public MemberUpdate self() {
    return self;
  }

  /** Returns the other members that are alive or suspected, ordered by identifier. */
  public List<MemberUpdate> present() {
    return table.present();
  }

  /** Returns the dead members that are still remembered, ordered by identifier. */
  public List<MemberUpdate> dead() {
    return table.dead();
  }

  /** Returns by how many times this member lengthens its intervals; 0 if it is healthy. */
  public int healthScore() {
    return health.score();
  }

  /** Collects the actions of one event and adds the fields that every message has. */
  final class Outbox {
    private final List<MembershipAction> actions = new ArrayList<>();

    /** Sends a message with queued updates. */
    void send(Address address, MembershipMessage.Body body) {
      int limit = settings.transmissions(table.presentCount() + 1);
      send(address, queue.take(settings.updatesPerMessage(), limit), body);
    }

    /** Sends a message with the given updates. */
    void send(Address address, List<MemberUpdate> updates, MembershipMessage.Body body) {
      MembershipMessage message = new MembershipMessage(self, generation, updates, body);
      actions.add(new MembershipAction.Send(address, message));
    }

    /** Sends a message with queued updates; also tells a suspected or dead member so. */
    void sendTo(MemberUpdate member, MembershipMessage.Body body) {
      if (member.liveness() == Liveness.ALIVE) {
        send(member.instance().peerAddress(), body);
        return;
      }
      int limit = settings.transmissions(table.presentCount() + 1);
      List<MemberUpdate> updates = new ArrayList<>();
      updates.add(member);
      updates.addAll(queue.take(settings.updatesPerMessage() - 1, limit));
      send(member.instance().peerAddress(), updates, body);
    }

    /** Reports the change of a member and queues it for gossip. */
    void changed(MemberUpdate update) {
      queue.add(update);
      actions.add(new MembershipAction.MemberChanged(update));
    }
  }

  private void detectPause(long now) {
    long gap = now - lastEvent;
    lastEvent = now;
    if (gap < settings.pauseMilliseconds()) {
      return;
    }
    prober.reset();
    table.postponeSuspicions(gap);
    health.worsen();
  }

  private void tick(long now, Outbox outbox) {
    table.expireSuspicions(now).forEach(outbox::changed);
    table.removeDead(now - settings.deadRetentionMilliseconds(), settings.maximumDead());
    prober.tick(now, outbox);
    if (schedule.probeDue(now, health)) {
      prober.start(now, outbox);
    }
    if (schedule.gossipDue(now)) {
      gossip(outbox);
    }
    if (schedule.exchangeDue(now)) {
      exchange.start(self, outbox);
    }
    if (schedule.contactDue(now, table.presentCount() == 0)) {
      exchange.contactSeed(self, seeds, outbox);
      exchange.contactDead(self, outbox);
    }
  }

  private void gossip(Outbox outbox) {
    if (queue.isEmpty() && announcementsLeft == 0) {
      return;
    }
    announcementsLeft = Math.max(0, announcementsLeft - 1);
    for (MemberUpdate target : targets.gossipTargets(table, settings.gossipFanout())) {
      outbox.sendTo(target, new MembershipMessage.Gossip());
    }
  }

  private void receive(MembershipMessage message, long now, Outbox outbox) {
    if (message.sender().id().equals(self.id())) {
      return;
    }
    MembershipMessage.Body body = message.body();
    boolean exchanged =
        body instanceof MembershipMessage.StateRequest
            || body instanceof MembershipMessage.StateAnswer;
    merge(message.sender(), false, now, outbox);
    int found = 0;
    for (MemberUpdate update : message.updates()) {
      found += merge(update, exchanged, now, outbox) ? 1 : 0;
    }
    if (found > 0) {
      schedule.scheduleEarlyExchange(now);
    }
    observeGeneration(message, outbox);
    if (body instanceof MembershipMessage.StateRequest request) {
      exchange.answer(self, message, request, outbox);
    } else if (body instanceof MembershipMessage.StateAnswer answer) {
      exchange.continueExchange(self, message, answer, outbox);
    } else {
      prober.receive(self, message, now, outbox);
    }
  }

  /**
   * Merges an update; returns whether an exchange found an unknown member. Such a member is not
   * spread, because the member that it contacted first does that.
   */
  private boolean merge(MemberUpdate update, boolean exchanged, long now, Outbox outbox) {
    if (update.id().equals(self.id())) {
      refute(update, outbox);
      return false;
    }
    boolean found = exchanged && table.get(update.id()).isEmpty();
    long suspicion = settings.suspicionMilliseconds(table.presentCount() + 1);
    if (!table.merge(update, now, suspicion)) {
      return false;
    }
    MemberUpdate current = table.get(update.id()).orElseThrow().update();
    if (found) {
      outbox.actions.add(new MembershipAction.MemberChanged(current));
      return true;
    }
    outbox.changed(current);
    return false;
  }

  private void refute(MemberUpdate update, Outbox outbox) {
    if (update.liveness() == Liveness.ALIVE || update.incarnation() < self.incarnation()) {
      return;
    }
    self = new MemberUpdate(self.instance(), update.incarnation() + 1, Liveness.ALIVE);
    health.worsen();
    outbox.changed(self);
  }

  private void observeGeneration(MembershipMessage message, Outbox outbox) {
    if (message.generation() > generation) {
      outbox.actions.add(
          new MembershipAction.GenerationObserved(
              message.sender().instance(), message.generation()));
    }
  }

  private void raiseGeneration(long raised) {
    if (raised <= generation) {
      return;
    }
    generation = raised;
    announce();
  }

  private void announce() {
    announcementsLeft = settings.transmissions(table.presentCount() + 1);
  }

  private void leave(Outbox outbox) {
    Instance leaving = MemberTable.leaving(self.instance());
    if (leaving.equals(self.instance())) {
      return;
    }
    self = new MemberUpdate(leaving, self.incarnation() + 1, Liveness.ALIVE);
    outbox.changed(self);
  }

  /** Returns the entry of a member, if it is known. */
  public Optional<MemberUpdate> find(String id) {
    return id.equals(self.id()) ? Optional.of(self) : table.get(id).map(MemberTable.Entry::update);
  }
}
