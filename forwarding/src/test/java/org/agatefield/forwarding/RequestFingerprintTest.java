package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
  private static RequestFingerprint fingerprint(
      String method, String target, Optional<String> account, String body) {
    return RequestFingerprint.of(method, target, account, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void equalRequestsHaveEqualFingerprints() {
    assertEquals(
        fingerprint("POST", "/a?b", Optional.of("clinic"), "body"),
        fingerprint("POST", "/a?b", Optional.of("clinic"), "body"));
  }

  @Test
  void requestsThatDifferInOneFieldHaveDifferentFingerprints() {
    List<RequestFingerprint> all =
        List.of(
            fingerprint("POST", "/a?b", Optional.of("clinic"), "body"),
            fingerprint("PUT", "/a?b", Optional.of("clinic"), "body"),
            fingerprint("POST", "/a?c", Optional.of("clinic"), "body"),
            fingerprint("POST", "/a", Optional.of("clinic"), "?bbody"),
            fingerprint("POST", "/a?b", Optional.of("school"), "body"),
            fingerprint("POST", "/a?b", Optional.of(""), "body"),
            fingerprint("POST", "/a?b", Optional.empty(), "body"),
            fingerprint("POST", "/a?b", Optional.of("clinic"), "bodies"),
            fingerprint("POST", "/a?b", Optional.of("clinic"), ""));
    Set<String> values = all.stream().map(RequestFingerprint::value).collect(Collectors.toSet());
    assertEquals(all.size(), values.size());
  }

  @Test
  void bodyThatWasReadInPiecesHasTheSameFingerprint() {
    RequestFingerprint.BodyDigest pieces = new RequestFingerprint.BodyDigest();
    pieces.update("bo".getBytes(StandardCharsets.UTF_8));
    pieces.update("dy".getBytes(StandardCharsets.UTF_8));
    assertEquals(
        fingerprint("POST", "/a", Optional.empty(), "body"),
        RequestFingerprint.of("POST", "/a", Optional.empty(), pieces));
  }

  @Test
  void fingerprintIsNoPartOfPromptAndShowsNothingOfTheRequest() {
    String value = fingerprint("POST", "/a", Optional.of("clinic"), "body").value();
    assertTrue(value.matches("request-[0-9a-f]{32}"), value);
    assertFalse(value.contains("clinic"));
  }
}
