package org.agatefield.peer;

import java.util.HashMap;
import java.util.Map;
import org.agatefield.peer.generated.PeerProtocol;

/** Converts evidence about crashes of runners to and from protobuf. Stateless. */
final class CrashEvidenceCodec {
  private CrashEvidenceCodec() {}

  static PeerProtocol.CrashEvidence encode(PeerMessage.CrashEvidence evidence) {
    PeerProtocol.CrashEvidence.Builder builder = PeerProtocol.CrashEvidence.newBuilder();
    for (PeerMessage.RunnerCrash crash : evidence.crashes()) {
      PeerProtocol.RunnerCrash.Builder encoded =
          PeerProtocol.RunnerCrash.newBuilder()
              .setRunner(crash.runner())
              .setBornMilliseconds(crash.startTimeMilliseconds())
              .setAgeMilliseconds((int) crash.ageMilliseconds());
      crash
          .positions()
          .forEach((trait, position) -> encoded.addParts(trait).addPositions(position));
      builder.addCrashes(encoded);
    }
    for (PeerMessage.TraitSurvival survival : evidence.survivals()) {
      builder.addSurvivals(
          PeerProtocol.PartSurvival.newBuilder()
              .setPart(survival.trait())
              .setAgeMilliseconds((int) survival.ageMilliseconds()));
    }
    for (PeerMessage.QuarantinedTrait each : evidence.quarantined()) {
      builder.addQuarantined(
          PeerProtocol.QuarantinedPart.newBuilder()
              .setPart(each.trait())
              .setNumber(each.number())
              .setRemainingMilliseconds((int) each.remainingMilliseconds())
              .setStored(each.stored()));
    }
    for (PeerMessage.EndedQuarantine ended : evidence.ended()) {
      builder.addEnded(
          PeerProtocol.EndedQuarantine.newBuilder()
              .setPart(ended.trait())
              .setNumber(ended.number()));
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
                        positions(crash)))
            .toList(),
        evidence.getSurvivalsList().stream()
            .map(
                survival ->
                    new PeerMessage.TraitSurvival(
                        survival.getPart(), Integer.toUnsignedLong(survival.getAgeMilliseconds())))
            .toList(),
        evidence.getQuarantinedList().stream()
            .map(
                each ->
                    new PeerMessage.QuarantinedTrait(
                        each.getPart(),
                        each.getNumber(),
                        Integer.toUnsignedLong(each.getRemainingMilliseconds()),
                        each.getStored()))
            .toList(),
        evidence.getEndedList().stream()
            .map(each -> new PeerMessage.EndedQuarantine(each.getPart(), each.getNumber()))
            .toList());
  }

  private static Map<String, Integer> positions(PeerProtocol.RunnerCrash crash) {
    Map<String, Integer> positions = new HashMap<>();
    for (int index = 0; index < crash.getPartsCount(); index++) {
      int position = index < crash.getPositionsCount() ? crash.getPositions(index) : 0;
      positions.put(crash.getParts(index), position);
    }
    return positions;
  }
}
