package org.agatefield.peer;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerMessage.MemberLiveness;
import org.agatefield.peer.PeerMessage.MemberStatement;
import org.agatefield.peer.PeerMessage.MembershipOperation;
import org.agatefield.peer.generated.PeerProtocol;

/** Converts messages of the membership protocol to and from protobuf. Stateless. */
final class MembershipCodec {
  private MembershipCodec() {}

  static PeerProtocol.Membership encode(PeerMessage.Membership message) {
    PeerProtocol.Membership.Builder builder =
        PeerProtocol.Membership.newBuilder()
            .setSender(encodeMember(message.sender()))
            .setGeneration(message.generation());
    message.updates().forEach(update -> builder.addUpdates(encodeMember(update)));
    for (PeerMessage.LeavingUpstream upstream : message.leavingUpstreams()) {
      builder.addLeavingUpstreams(
          PeerProtocol.LeavingUpstream.newBuilder()
              .setName(upstream.name())
              .setRemainingMilliseconds((int) upstream.remainingMilliseconds()));
    }
    encodeOperation(message.operation(), builder);
    return builder.build();
  }

  private static void encodeOperation(
      MembershipOperation operation, PeerProtocol.Membership.Builder builder) {
    if (operation instanceof PeerMessage.Probe probe) {
      builder.setProbe(
          PeerProtocol.Probe.newBuilder().setSequence(probe.sequence()).setTarget(probe.target()));
    } else if (operation instanceof PeerMessage.Acknowledgement acknowledgement) {
      builder.setAcknowledgement(
          PeerProtocol.Acknowledgement.newBuilder()
              .setSequence(acknowledgement.sequence())
              .setReached(acknowledgement.reached()));
    } else if (operation instanceof PeerMessage.IndirectProbe indirect) {
      builder.setIndirectProbe(
          PeerProtocol.IndirectProbe.newBuilder()
              .setSequence(indirect.sequence())
              .setTarget(indirect.target())
              .setAddress(encodeAddress(indirect.address())));
    } else if (operation instanceof PeerMessage.Gossip) {
      builder.setGossip(PeerProtocol.Gossip.getDefaultInstance());
    } else if (operation instanceof PeerMessage.StateRequest request) {
      builder.setStateRequest(
          PeerProtocol.StateRequest.newBuilder()
              .setAfterId(request.afterId())
              .setLastPage(request.lastPage())
              .setTableHash(request.tableHash()));
    } else if (operation instanceof PeerMessage.StateAnswer answer) {
      builder.setStateAnswer(
          PeerProtocol.StateAnswer.newBuilder()
              .setNextAfterId(answer.nextAfterId())
              .setMore(answer.more()));
    }
  }

  /** Returns the message; empty if its operation is unknown to this version of the protocol. */
  static Optional<PeerMessage.Membership> decode(PeerProtocol.Membership message) {
    List<MemberStatement> updates =
        message.getUpdatesList().stream().map(MembershipCodec::decodeMember).toList();
    List<PeerMessage.LeavingUpstream> leaving =
        message.getLeavingUpstreamsList().stream()
            .map(
                upstream ->
                    new PeerMessage.LeavingUpstream(
                        upstream.getName(), upstream.getRemainingMilliseconds()))
            .toList();
    return decodeOperation(message)
        .map(
            operation ->
                new PeerMessage.Membership(
                    decodeMember(message.getSender()),
                    message.getGeneration(),
                    updates,
                    leaving,
                    operation));
  }

  private static Optional<MembershipOperation> decodeOperation(PeerProtocol.Membership message) {
    return switch (message.getBodyCase()) {
      case PROBE ->
          Optional.of(
              new PeerMessage.Probe(
                  message.getProbe().getSequence(), message.getProbe().getTarget()));
      case ACKNOWLEDGEMENT ->
          Optional.of(
              new PeerMessage.Acknowledgement(
                  message.getAcknowledgement().getSequence(),
                  message.getAcknowledgement().getReached()));
      case INDIRECT_PROBE ->
          Optional.of(
              new PeerMessage.IndirectProbe(
                  message.getIndirectProbe().getSequence(),
                  message.getIndirectProbe().getTarget(),
                  decodeAddress(message.getIndirectProbe().getAddress())));
      case GOSSIP -> Optional.of(new PeerMessage.Gossip());
      case STATE_REQUEST ->
          Optional.of(
              new PeerMessage.StateRequest(
                  message.getStateRequest().getAfterId(),
                  message.getStateRequest().getLastPage(),
                  message.getStateRequest().getTableHash()));
      case STATE_ANSWER ->
          Optional.of(
              new PeerMessage.StateAnswer(
                  message.getStateAnswer().getNextAfterId(), message.getStateAnswer().getMore()));
      case BODY_NOT_SET -> Optional.empty();
    };
  }

  private static PeerProtocol.Member encodeMember(MemberStatement statement) {
    Instance instance = statement.instance();
    return PeerProtocol.Member.newBuilder()
        .setId(instance.id())
        .setCallerAddress(encodeAddress(instance.callerAddress()))
        .setPeerAddress(encodeAddress(instance.peerAddress()))
        .setRegion(instance.failureDomain().region())
        .setFailureDomain(instance.failureDomain().name())
        .setLeaving(instance.state() == InstanceState.LEAVING)
        .setIncarnation(statement.incarnation())
        .setLiveness(encodeLiveness(statement.liveness()))
        .build();
  }

  private static MemberStatement decodeMember(PeerProtocol.Member member) {
    Instance instance =
        new Instance(
            member.getId(),
            decodeAddress(member.getCallerAddress()),
            decodeAddress(member.getPeerAddress()),
            new FailureDomain(member.getRegion(), member.getFailureDomain()),
            member.getLeaving() ? InstanceState.LEAVING : InstanceState.LIVE);
    return new MemberStatement(
        instance, member.getIncarnation(), decodeLiveness(member.getLiveness()));
  }

  private static PeerProtocol.Liveness encodeLiveness(MemberLiveness liveness) {
    return switch (liveness) {
      case ALIVE -> PeerProtocol.Liveness.LIVENESS_ALIVE;
      case SUSPECT -> PeerProtocol.Liveness.LIVENESS_SUSPECT;
      case DEAD -> PeerProtocol.Liveness.LIVENESS_DEAD;
    };
  }

  private static MemberLiveness decodeLiveness(PeerProtocol.Liveness liveness) {
    return switch (liveness) {
      case LIVENESS_SUSPECT -> MemberLiveness.SUSPECT;
      case LIVENESS_DEAD -> MemberLiveness.DEAD;
      case LIVENESS_ALIVE, LIVENESS_UNSPECIFIED, UNRECOGNIZED -> MemberLiveness.ALIVE;
    };
  }

  static PeerProtocol.Address encodeAddress(Address address) {
    return PeerProtocol.Address.newBuilder()
        .setHost(address.host())
        .setPort(address.port())
        .build();
  }

  static Address decodeAddress(PeerProtocol.Address address) {
    return new Address(address.getHost(), address.getPort());
  }
}
