package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.forwarding.RequestMetadata.TokenUsage;
import org.junit.jupiter.api.Test;

class AccountTableTest {
  private static final TokenQuota QUOTA = new TokenQuota(1_000, 1_000, TokenQuota.Unit.TOKENS, 200);

  private static ClientAccount account(String name, String... keys) {
    Set<KeyDigest> digests = new java.util.HashSet<>();
    for (String key : keys) {
      digests.add(KeyDigest.of(key));
    }
    return new ClientAccount(name, digests, OptionalInt.empty(), Optional.of(QUOTA));
  }

  private static RequestMetadata metadata(Optional<TokenUsage> usage) {
    return new RequestMetadata(
        "id", OptionalLong.empty(), Optional.empty(), Optional.empty(), usage, Optional.empty());
  }

  @Test
  void keyIdentifiesItsAccountAndNoOther() {
    AccountTable table = new AccountTable(List.of(account("a", "k1", "k2"), account("b", "k3")));
    assertEquals("a", table.accountFor(KeyDigest.of("k2")).orElseThrow().name());
    assertEquals("b", table.accountFor(KeyDigest.of("k3")).orElseThrow().name());
    assertTrue(table.accountFor(KeyDigest.of("k4")).isEmpty());
  }

  @Test
  void accountsRequireKeysEvenIfNoneHasKey() {
    assertTrue(new AccountTable(List.of(account("a"))).requiresKeys());
    assertFalse(AccountTable.NONE.requiresKeys());
  }

  @Test
  void digestIsParsedFromHexAndHiddenInToString() {
    KeyDigest digest = KeyDigest.of("secret");
    assertEquals(digest, KeyDigest.ofHex(digest.toHex()));
    assertNotEquals(digest, KeyDigest.of(digest.toHex()));
    assertFalse((digest + account("a", "secret").toString()).contains(digest.toHex()));
    assertThrows(IllegalArgumentException.class, () -> KeyDigest.ofHex("00ff"));
  }

  @Test
  void requestCostsItsTokensOrThePlainCost() {
    assertEquals(2_392, QUOTA.cost(metadata(Optional.of(new TokenUsage(2_368, 24)))));
    assertEquals(200, QUOTA.cost(metadata(Optional.empty())));
    TokenQuota requests = new TokenQuota(5, 5, TokenQuota.Unit.REQUESTS, 200);
    assertEquals(1, requests.cost(metadata(Optional.of(new TokenUsage(2_368, 24)))));
  }
}
