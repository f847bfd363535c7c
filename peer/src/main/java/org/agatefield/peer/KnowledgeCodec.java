package org.agatefield.peer;

import java.util.List;
import org.agatefield.peer.generated.PeerProtocol;

/** Converts reports of knowledge to and from protobuf. Stateless. */
final class KnowledgeCodec {
  private KnowledgeCodec() {}

  static PeerProtocol.KnowledgeReport encode(PeerMessage.KnowledgeReport report) {
    PeerProtocol.KnowledgeReport.Builder builder =
        PeerProtocol.KnowledgeReport.newBuilder()
            .setSource(report.source())
            .setWhole(report.whole());
    for (PeerMessage.KnownKind kind : report.kinds()) {
      PeerProtocol.KnownKind.Builder encoded =
          PeerProtocol.KnownKind.newBuilder().setName(kind.name());
      for (PeerMessage.KnownFact fact : kind.facts()) {
        encoded.addFacts(
            PeerProtocol.KnownFact.newBuilder()
                .setSubject(fact.subject())
                .setAgeMilliseconds((int) fact.ageMilliseconds())
                .addAllNumbers(fact.numbers()));
      }
      builder.addKinds(encoded);
    }
    return builder.build();
  }

  static PeerMessage.KnowledgeReport decode(PeerProtocol.KnowledgeReport report) {
    return new PeerMessage.KnowledgeReport(
        report.getSource(),
        report.getWhole(),
        report.getKindsList().stream().map(KnowledgeCodec::decodeKind).toList());
  }

  private static PeerMessage.KnownKind decodeKind(PeerProtocol.KnownKind kind) {
    List<PeerMessage.KnownFact> facts =
        kind.getFactsList().stream()
            .map(
                fact ->
                    new PeerMessage.KnownFact(
                        fact.getSubject(),
                        Integer.toUnsignedLong(fact.getAgeMilliseconds()),
                        fact.getNumbersList()))
            .toList();
    return new PeerMessage.KnownKind(kind.getName(), facts);
  }
}
