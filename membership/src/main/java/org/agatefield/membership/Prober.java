package org.agatefield.membership;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.Address;

/** Probes other members, answers probes, and relays probes for others. Not thread-safe. */
final class Prober {
  private final MembershipSettings settings;
  private final MemberTable table;
  private final LocalHealth health;
  private final TargetSelector targets;
  private final OpenProbes openProbes = new OpenProbes();

  Prober(
      MembershipSettings settings, MemberTable table, LocalHealth health, TargetSelector targets) {
    this.settings = settings;
    this.table = table;
    this.health = health;
    this.targets = targets;
  }

  void reset() {
    openProbes.reset();
  }

  void start(long now, Membership.Outbox outbox) {
    Optional<MemberUpdate> target = targets.nextProbe(table);
    if (target.isEmpty()) {
      return;
    }
    long relayDeadline = now + health.scale(settings.probeTimeoutMilliseconds());
    long deadline =
        now + health.scale(settings.probeIntervalMilliseconds()) - settings.tickMilliseconds();
    OpenProbes.OwnProbe own = openProbes.open(target.get(), relayDeadline, deadline);
    outbox.sendTo(target.get(), new MembershipMessage.Probe(own.sequence(), target.get().id()));
  }

  void tick(long now, Membership.Outbox outbox) {
    openProbes.relaysDue(now).ifPresent(own -> probeIndirectly(own, outbox));
    openProbes.failed(now).ifPresent(own -> onProbeFailed(own, now, outbox));
    for (OpenProbes.RelayedProbe relay : openProbes.failedRelays(now)) {
      MembershipMessage.Body body =
          new MembershipMessage.Acknowledgement(relay.requestSequence(), false);
      outbox.send(relay.requester(), body);
    }
  }

  private void probeIndirectly(OpenProbes.OwnProbe own, Membership.Outbox outbox) {
    List<MemberUpdate> relays = targets.relays(table, own.target(), settings.indirectProbes());
    Address address = own.target().instance().peerAddress();
    openProbes.setRelayCount(relays.size());
    for (MemberUpdate relay : relays) {
      outbox.sendTo(
          relay, new MembershipMessage.IndirectProbe(own.sequence(), own.target().id(), address));
    }
  }

  private void onProbeFailed(OpenProbes.OwnProbe own, long now, Membership.Outbox outbox) {
    if (own.hasSilentRelays()) {
      health.worsen();
    }
    String id = own.target().id();
    long suspicion = settings.suspicionMilliseconds(table.presentCount() + 1);
    if (table.suspect(id, now + health.scale(suspicion))) {
      table.get(id).map(MemberTable.Entry::update).ifPresent(outbox::changed);
    }
  }

  void receive(MemberUpdate self, MembershipMessage message, long now, Membership.Outbox outbox) {
    MembershipMessage.Body body = message.body();
    if (body instanceof MembershipMessage.Probe probe && probe.target().equals(self.id())) {
      MemberUpdate sender = currentView(message.sender());
      outbox.sendTo(sender, new MembershipMessage.Acknowledgement(probe.sequence(), true));
    } else if (body instanceof MembershipMessage.IndirectProbe indirect) {
      relay(message.sender(), indirect, now, outbox);
    } else if (body instanceof MembershipMessage.Acknowledgement acknowledgement) {
      acknowledge(acknowledgement, outbox);
    }
  }

  private void relay(
      MemberUpdate requester,
      MembershipMessage.IndirectProbe indirect,
      long now,
      Membership.Outbox outbox) {
    OpenProbes.RelayedProbe relay =
        new OpenProbes.RelayedProbe(
            requester.instance().peerAddress(),
            indirect.sequence(),
            now + settings.probeTimeoutMilliseconds());
    Optional<Long> sequence = openProbes.relay(relay, settings.maximumRelays());
    if (sequence.isPresent()) {
      outbox.send(
          indirect.address(), new MembershipMessage.Probe(sequence.get(), indirect.target()));
    }
  }

  private void acknowledge(
      MembershipMessage.Acknowledgement acknowledgement, Membership.Outbox outbox) {
    if (openProbes.acknowledged(acknowledgement.sequence(), acknowledgement.reached())) {
      health.improve();
      return;
    }
    Optional<OpenProbes.RelayedProbe> relay =
        acknowledgement.reached()
            ? openProbes.relayAcknowledged(acknowledgement.sequence())
            : Optional.empty();
    if (relay.isPresent()) {
      outbox.send(
          relay.get().requester(),
          new MembershipMessage.Acknowledgement(relay.get().requestSequence(), true));
    }
  }

  private MemberUpdate currentView(MemberUpdate sender) {
    return table.get(sender.id()).map(MemberTable.Entry::update).orElse(sender);
  }
}
