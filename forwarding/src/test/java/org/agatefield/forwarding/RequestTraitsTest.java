package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.agatefield.forwarding.GenerationParameters.PromptPart;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {
  private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;
  private static final RequestFingerprint FINGERPRINT =
      RequestFingerprint.of("POST", "/", Optional.empty(), new byte[0]);

  private static List<String> traits(String... ids) {
    List<PromptPart> parts = List.of(ids).stream().map(id -> new PromptPart(id, 10)).toList();
    GenerationParameters prompt = new GenerationParameters("m", Optional.empty(), 10, 80, parts);
    return RequestTraits.of(Optional.of(prompt), FINGERPRINT).ids();
  }

  /** Guards against processes that long identifiers of parts end by memory (review/9). */
  @Test
  void traitOfPartWithLongIdentifierIsShort() {
    String id = "a".repeat(15_600);
    List<String> traits = traits(id + "1", id + "2", id + "1", "own");
    assertTrue(traits.stream().allMatch(each -> each.length() <= MAXIMUM_IDENTIFIER_LENGTH));
    assertEquals(traits.get(0), traits.get(2));
    assertNotEquals(traits.get(0), traits.get(1));
    assertEquals(4, traits.size());
  }

  @Test
  void traitsOfPartsWithUsualIdentifiersAreTheseIdentifiers() {
    String longest = "b".repeat(MAXIMUM_IDENTIFIER_LENGTH);
    assertEquals(List.of("a1", longest, FINGERPRINT.value()), traits("a1", longest, "own"));
  }
}
