package org.agatefield.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.agatefield.model.DemandSample;
import org.agatefield.peer.generated.PeerProtocol;
import org.agatefield.peer.generated.PeerProtocol.Envelope;

/** Converts messages to and from their protobuf envelopes. Stateless. */
final class PeerCodec {
  private PeerCodec() {}

  static Envelope encode(long requestNumber, boolean answer, PeerMessage message) {
    if (message instanceof PeerMessage.Relayed relayed) {
      return encode(requestNumber, answer, relayed.message()).toBuilder().setHandOn(true).build();
    }
    Envelope.Builder envelope =
        Envelope.newBuilder().setRequestNumber(requestNumber).setAnswer(answer);
    if (message instanceof PeerMessage.Membership membership) {
      envelope.setMembership(MembershipCodec.encode(membership));
    } else if (message instanceof PeerMessage.ConfigurationRequest request) {
      envelope.setConfigurationRequest(
          PeerProtocol.ConfigurationRequest.newBuilder().setGeneration(request.generation()));
    } else if (message instanceof PeerMessage.ConfigurationAnswer configuration) {
      envelope.setConfigurationAnswer(encodeConfiguration(configuration));
    } else if (message instanceof PeerMessage.DemandReport report) {
      envelope.setDemandReport(encodeReport(report));
    } else if (message instanceof PeerMessage.DemandRequest request) {
      envelope.setDemandRequest(
          PeerProtocol.DemandRequest.newBuilder().setScope(encodeScope(request.scope())));
    } else if (!ForwardingCodec.encode(envelope, message)) {
      throw new IllegalArgumentException("message " + message + " cannot be encoded");
    }
    return envelope.build();
  }

  static Envelope failure(long requestNumber, String reason) {
    return Envelope.newBuilder()
        .setRequestNumber(requestNumber)
        .setAnswer(true)
        .setFailure(PeerProtocol.Failure.newBuilder().setReason(reason))
        .build();
  }

  /** Returns the message; empty if its type is unknown to this version of the protocol. */
  static Optional<PeerMessage> decode(Envelope envelope) {
    Optional<PeerMessage> message = decodeMessage(envelope);
    return envelope.getHandOn() ? message.map(PeerMessage.Relayed::new) : message;
  }

  private static Optional<PeerMessage> decodeMessage(Envelope envelope) {
    return switch (envelope.getMessageCase()) {
      case MEMBERSHIP -> MembershipCodec.decode(envelope.getMembership()).map(each -> each);
      case CONFIGURATION_REQUEST ->
          Optional.of(
              new PeerMessage.ConfigurationRequest(
                  envelope.getConfigurationRequest().getGeneration()));
      case CONFIGURATION_ANSWER ->
          Optional.of(decodeConfiguration(envelope.getConfigurationAnswer()));
      case DEMAND_REPORT -> Optional.of(decodeReport(envelope.getDemandReport()));
      case DEMAND_REQUEST ->
          decodeScope(envelope.getDemandRequest().getScope()).map(PeerMessage.DemandRequest::new);
      case FAILURE, HELLO, MESSAGE_NOT_SET -> Optional.empty();
      default -> ForwardingCodec.decode(envelope);
    };
  }

  private static PeerProtocol.ConfigurationAnswer encodeConfiguration(
      PeerMessage.ConfigurationAnswer answer) {
    PeerProtocol.ConfigurationAnswer.Builder builder =
        PeerProtocol.ConfigurationAnswer.newBuilder().setGeneration(answer.generation());
    answer.document().ifPresent(bytes -> builder.setDocument(ByteString.copyFrom(bytes)));
    return builder.build();
  }

  private static PeerMessage decodeConfiguration(PeerProtocol.ConfigurationAnswer answer) {
    Optional<byte[]> document =
        answer.getDocument().isEmpty()
            ? Optional.empty()
            : Optional.of(answer.getDocument().toByteArray());
    return new PeerMessage.ConfigurationAnswer(answer.getGeneration(), document);
  }

  private static PeerProtocol.DemandReport encodeReport(PeerMessage.DemandReport report) {
    PeerProtocol.DemandReport.Builder builder =
        PeerProtocol.DemandReport.newBuilder()
            .setInstance(report.instance())
            .setAgeMilliseconds((int) report.ageMilliseconds())
            .setInstances(report.instances());
    for (DemandSample sample : report.samples()) {
      builder.addSamples(
          PeerProtocol.Demand.newBuilder()
              .setDeployment(sample.deployment())
              .setRegion(sample.region())
              .setRequestsPerSecond((float) sample.requestsPerSecond())
              .setRefusedPerSecond((float) sample.refusedPerSecond())
              .setBusySecondsPerSecond((float) sample.busySecondsPerSecond()));
    }
    return builder.build();
  }

  private static PeerMessage decodeReport(PeerProtocol.DemandReport report) {
    List<DemandSample> samples =
        report.getSamplesList().stream()
            .map(
                sample ->
                    new DemandSample(
                        sample.getDeployment(),
                        sample.getRegion(),
                        sample.getRequestsPerSecond(),
                        sample.getRefusedPerSecond(),
                        sample.getBusySecondsPerSecond()))
            .toList();
    return new PeerMessage.DemandReport(
        report.getInstance(), samples, report.getAgeMilliseconds(), report.getInstances());
  }

  private static PeerProtocol.DemandScope encodeScope(PeerMessage.DemandScope scope) {
    return switch (scope) {
      case FAILURE_DOMAIN -> PeerProtocol.DemandScope.DEMAND_SCOPE_FAILURE_DOMAIN;
      case REGION -> PeerProtocol.DemandScope.DEMAND_SCOPE_REGION;
    };
  }

  private static Optional<PeerMessage.DemandScope> decodeScope(PeerProtocol.DemandScope scope) {
    return switch (scope) {
      case DEMAND_SCOPE_FAILURE_DOMAIN -> Optional.of(PeerMessage.DemandScope.FAILURE_DOMAIN);
      case DEMAND_SCOPE_REGION -> Optional.of(PeerMessage.DemandScope.REGION);
      case DEMAND_SCOPE_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }
}
