package org.agatefield.peer;

import org.agatefield.peer.generated.PeerProtocol;

/** Converts evidence about crashes of runners to and from protobuf. Stateless. */
final class CrashEvidenceCodec {
  private CrashEvidenceCodec() {}

  static PeerProtocol.CrashEvidence encode(PeerMessage.CrashEvidence evidence) {
    PeerProtocol.CrashEvidence.Builder builder = PeerProtocol.CrashEvidence.newBuilder();
    for (PeerMessage.RunnerCrash crash : evidence.crashes()) {
      builder.addCrashes(
          PeerProtocol.RunnerCrash.newBuilder()
              .setRunner(crash.runner())
              .setBornMilliseconds(crash.startTimeMilliseconds())
              .setAgeMilliseconds((int) crash.ageMilliseconds())
              .addAllParts(crash.parts()));
    }
    for (PeerMessage.PartSurvival survival : evidence.survivals()) {
      builder.addSurvivals(
          PeerProtocol.PartSurvival.newBuilder()
              .setPart(survival.part())
              .setAgeMilliseconds((int) survival.ageMilliseconds()));
    }
    for (PeerMessage.QuarantinedPart part : evidence.quarantined()) {
      builder.addQuarantined(
          PeerProtocol.QuarantinedPart.newBuilder()
              .setPart(part.part())
              .setAgeMilliseconds((int) part.ageMilliseconds())
              .setRemainingMilliseconds((int) part.remainingMilliseconds()));
    }
    return builder.build();
  }

  static PeerMessage.CrashEvidence decode(PeerProtocol.CrashEvidence evidence) {
    return new PeerMessage.CrashEvidence(
        evidence.getCrashesList().stream()
            .map(
                crash ->
                    new PeerMessage.RunnerCrash(
                        crash.getRunner(),
                        crash.getBornMilliseconds(),
                        Integer.toUnsignedLong(crash.getAgeMilliseconds()),
                        crash.getPartsList()))
            .toList(),
        evidence.getSurvivalsList().stream()
            .map(
                survival ->
                    new PeerMessage.PartSurvival(
                        survival.getPart(), Integer.toUnsignedLong(survival.getAgeMilliseconds())))
            .toList(),
        evidence.getQuarantinedList().stream()
            .map(
                part ->
                    new PeerMessage.QuarantinedPart(
                        part.getPart(),
                        Integer.toUnsignedLong(part.getAgeMilliseconds()),
                        Integer.toUnsignedLong(part.getRemainingMilliseconds())))
            .toList());
  }
}
