package org.agatefield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.agatefield.peer.generated.PeerProtocol;
import org.agatefield.peer.generated.PeerProtocol.Envelope;
import org.junit.jupiter.api.Test;

/** Tests that builds before and after a kind of message was added understand each other. */
class VersionCompatibilityTest {
  private static final PeerMessage.RunnerLimitNotice NOTICE =
      new PeerMessage.RunnerLimitNotice("i-1", 5, OptionalDouble.of(0.5), 40);

  private static Optional<PeerMessage> overTheWire(PeerMessage message)
      throws InvalidProtocolBufferException {
    return PeerCodec.decode(Envelope.parseFrom(PeerCodec.encode(0, false, message).toByteArray()));
  }

  /** Returns what a build without the given field of the envelope reads. */
  private static Envelope withoutField(Envelope envelope, int number)
      throws InvalidProtocolBufferException {
    UnknownFieldSet fields = UnknownFieldSet.parseFrom(envelope.toByteString());
    assertTrue(fields.hasField(number));
    return Envelope.parseFrom(fields.toBuilder().clearField(number).build().toByteString());
  }

  @Test
  void messagesAboutLimitsAreReadAsTheyWereWritten() throws Exception {
    assertEquals(Optional.of(NOTICE), overTheWire(NOTICE));
    PeerMessage ended = new PeerMessage.RunnerLimitNotice("i-1", 5, OptionalDouble.empty(), 0);
    assertEquals(Optional.of(ended), overTheWire(ended));
    PeerMessage request = new PeerMessage.PermitRequest(NOTICE, 3, 1);
    assertEquals(Optional.of(request), overTheWire(request));
    PeerMessage answer = new PeerMessage.PermitAnswer(2, 700, true);
    assertEquals(Optional.of(answer), overTheWire(answer));
  }

  @Test
  void evidenceOfCrashesIsReadAsItWasWrittenAndPassedOverByEarlierBuilds() throws Exception {
    PeerMessage evidence =
        new PeerMessage.CrashEvidence(
            List.of(new PeerMessage.RunnerCrash("i-1", 5, 40, Map.of("a1", 0, "b2", 1))),
            List.of(new PeerMessage.TraitSurvival("a1", 7)),
            List.of(new PeerMessage.QuarantinedTrait("b2", 2, 90, true)),
            List.of(new PeerMessage.EndedQuarantine("b2", 1)));
    assertEquals(Optional.of(evidence), overTheWire(evidence));
    Envelope envelope = PeerCodec.encode(0, false, evidence);
    assertEquals(
        Optional.empty(),
        PeerCodec.decode(withoutField(envelope, Envelope.CRASH_EVIDENCE_FIELD_NUMBER)));
  }

  @Test
  void noticeOfEarlierBuildSaysNothingAboutLimits() throws Exception {
    // A runner notice as the build before the rate limits wrote it.
    byte[] earlier = HexFormat.of().parseHex("ba010b0a03692d31100518" + "002064");
    Envelope envelope = Envelope.parseFrom(earlier);
    assertEquals(
        Optional.of(new PeerMessage.RunnerNotice("i-1", 5, OptionalLong.of(0), 100)),
        PeerCodec.decode(envelope));
  }

  @Test
  void earlierBuildPassesOverMessagesAboutLimits() throws Exception {
    Envelope notice = PeerCodec.encode(0, false, NOTICE);
    int noticeField = Envelope.RUNNER_LIMIT_NOTICE_FIELD_NUMBER;
    assertEquals(Optional.empty(), PeerCodec.decode(withoutField(notice, noticeField)));

    Envelope request = PeerCodec.encode(9, false, new PeerMessage.PermitRequest(NOTICE, 1, 0));
    Envelope seen = withoutField(request, Envelope.PERMIT_REQUEST_FIELD_NUMBER);
    assertEquals(Optional.empty(), PeerCodec.decode(seen));
    assertEquals(9, seen.getRequestNumber(), "the earlier build answers with a failure");
  }

  @Test
  void noticeFromLaterBuildWithUnknownFieldsIsRead() throws Exception {
    UnknownFieldSet later =
        UnknownFieldSet.newBuilder()
            .addField(99, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
            .build();
    Envelope envelope =
        PeerCodec.encode(0, false, NOTICE).toBuilder().setUnknownFields(later).build();
    assertEquals(Optional.of(NOTICE), PeerCodec.decode(Envelope.parseFrom(envelope.toByteArray())));
  }

  @Test
  void emptyPermitAnswerGrantsNothing() {
    Envelope envelope =
        Envelope.newBuilder()
            .setPermitAnswer(PeerProtocol.PermitAnswer.getDefaultInstance())
            .build();
    assertEquals(Optional.of(new PeerMessage.PermitAnswer(0, 0, true)), PeerCodec.decode(envelope));
  }

  @Test
  void invalidLimitsOfPeersAreIgnored() {
    for (double invalid : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1}) {
      PeerMessage notice =
          new PeerMessage.RunnerLimitNotice("i-1", 5, OptionalDouble.of(invalid), 0);
      assertEquals(Optional.empty(), PeerCodec.decode(PeerCodec.encode(0, false, notice)));
    }
  }
}
