package org.agatefield.daemon.peers;

import java.util.List;
import org.agatefield.membership.Liveness;
import org.agatefield.membership.MemberUpdate;
import org.agatefield.membership.MembershipMessage;
import org.agatefield.peer.PeerMessage;

/** Converts between the messages of the membership library and of the peer protocol. Stateless. */
final class MembershipTranslator {
  private MembershipTranslator() {}

  static PeerMessage.Membership toPeer(
      MembershipMessage message, List<PeerMessage.LeavingUpstream> leavingUpstreams) {
    return new PeerMessage.Membership(
        toStatement(message.sender()),
        message.generation(),
        message.updates().stream().map(MembershipTranslator::toStatement).toList(),
        leavingUpstreams,
        toOperation(message.body()));
  }

  static MembershipMessage fromPeer(PeerMessage.Membership message) {
    return new MembershipMessage(
        toUpdate(message.sender()),
        message.generation(),
        message.updates().stream().map(MembershipTranslator::toUpdate).toList(),
        toBody(message.operation()));
  }

  private static PeerMessage.MemberStatement toStatement(MemberUpdate update) {
    PeerMessage.MemberLiveness liveness =
        switch (update.liveness()) {
          case ALIVE -> PeerMessage.MemberLiveness.ALIVE;
          case SUSPECT -> PeerMessage.MemberLiveness.SUSPECT;
          case DEAD -> PeerMessage.MemberLiveness.DEAD;
        };
    return new PeerMessage.MemberStatement(update.instance(), update.incarnation(), liveness);
  }

  private static MemberUpdate toUpdate(PeerMessage.MemberStatement statement) {
    Liveness liveness =
        switch (statement.liveness()) {
          case ALIVE -> Liveness.ALIVE;
          case SUSPECT -> Liveness.SUSPECT;
          case DEAD -> Liveness.DEAD;
        };
    return new MemberUpdate(statement.instance(), statement.incarnation(), liveness);
  }

  private static PeerMessage.MembershipOperation toOperation(MembershipMessage.Body body) {
    if (body instanceof MembershipMessage.Probe probe) {
      return new PeerMessage.Probe(probe.sequence(), probe.target());
    }
    if (body instanceof MembershipMessage.Acknowledgement acknowledgement) {
      return new PeerMessage.Acknowledgement(acknowledgement.sequence(), acknowledgement.reached());
    }
    if (body instanceof MembershipMessage.IndirectProbe probe) {
      return new PeerMessage.IndirectProbe(probe.sequence(), probe.target(), probe.address());
    }
    if (body instanceof MembershipMessage.StateRequest request) {
      return new PeerMessage.StateRequest(
          request.afterId(), request.lastPage(), request.tableHash());
    }
    if (body instanceof MembershipMessage.StateAnswer answer) {
      return new PeerMessage.StateAnswer(answer.nextAfterId(), answer.more());
    }
    return new PeerMessage.Gossip();
  }

  private static MembershipMessage.Body toBody(PeerMessage.MembershipOperation operation) {
    if (operation instanceof PeerMessage.Probe probe) {
      return new MembershipMessage.Probe(probe.sequence(), probe.target());
    }
    if (operation instanceof PeerMessage.Acknowledgement acknowledgement) {
      return new MembershipMessage.Acknowledgement(
          acknowledgement.sequence(), acknowledgement.reached());
    }
    if (operation instanceof PeerMessage.IndirectProbe probe) {
      return new MembershipMessage.IndirectProbe(probe.sequence(), probe.target(), probe.address());
    }
    if (operation instanceof PeerMessage.StateRequest request) {
      return new MembershipMessage.StateRequest(
          request.afterId(), request.lastPage(), request.tableHash());
    }
    if (operation instanceof PeerMessage.StateAnswer answer) {
      return new MembershipMessage.StateAnswer(answer.nextAfterId(), answer.more());
    }
    return new MembershipMessage.Gossip();
  }
}
