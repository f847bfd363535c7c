package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.agatefield.knowledge.AccountUsage;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.knowledge.TargetPressure;
import org.junit.jupiter.api.Test;

class ServicePressureTest {
  private static final String SERVICE = "pool";
  private static final String MODEL = "model";
  private static final long NOW = 10_000;

  private final KnowledgeTable<TargetPressure> table = new KnowledgeTable<>(TargetPressure.KIND);
  private final ServicePressure pressure = new ServicePressure(table);
  private final KnowledgeTable<TargetPressure> peerTable =
      new KnowledgeTable<>(TargetPressure.KIND);
  private final ServicePressure peer = new ServicePressure(peerTable);

  private static <V> void send(KnowledgeTable<V> from, KnowledgeTable<V> to, long now) {
    Map<String, Observed<V>> facts = from.select(List.of(), 0, 160, now).facts();
    facts.forEach((subject, observed) -> to.receive("peer", subject, observed, now));
  }

  @Test
  void refusedUrgentRequestsPressLessUrgentOnesOnly() {
    pressure.refused(SERVICE, MODEL, 1, NOW);
    assertTrue(pressure.refuses(SERVICE, MODEL, 1, NOW));
    assertFalse(pressure.refuses(SERVICE, MODEL, 0, NOW));
    assertFalse(pressure.refuses(SERVICE, MODEL, -1, NOW));
    assertFalse(pressure.refuses("other", MODEL, 1, NOW));
    assertFalse(pressure.refuses(SERVICE, "other", 1, NOW));
  }

  @Test
  void pressureEndsSomeSecondsAfterTheLastRefusal() {
    pressure.refused(SERVICE, MODEL, 0, NOW);
    assertFalse(pressure.isPressed(SERVICE, NOW + 10_000));
  }

  @Test
  void waitingRequestsPressUntilTheyAreSent() {
    pressure.waiting(SERVICE, MODEL, 0, 1);
    assertTrue(pressure.isPressed(SERVICE, NOW));
    pressure.waiting(SERVICE, MODEL, 0, -1);
    assertFalse(pressure.isPressed(SERVICE, NOW));
  }

  @Test
  void instancesAddUpWhatTheySee() {
    pressure.waiting(SERVICE, MODEL, 0, 1);
    peer.waiting(SERVICE, MODEL, 0, 2);
    peer.publish(NOW);
    send(peerTable, table, NOW);
    assertEquals(3, pressure.of(SERVICE, MODEL, 0, NOW).waiting());
  }

  @Test
  void whatAnInstanceThatWentSilentSawIsForgotten() {
    peer.waiting(SERVICE, MODEL, 0, 2);
    peer.publish(NOW);
    send(peerTable, table, NOW);
    assertTrue(pressure.isPressed(SERVICE, NOW));
    assertFalse(pressure.isPressed(SERVICE, NOW + 4_000));
  }

  @Test
  void nothingIsPublishedWhileNothingLacksRoom() {
    pressure.sent(SERVICE, MODEL, 0, NOW);
    pressure.publish(NOW);
    assertTrue(table.all(NOW).isEmpty());
  }

  @Test
  void fewRefusalsAmongManyRequestsAreNoPressure() {
    for (int sent = 0; sent < 100; sent++) {
      pressure.sent(SERVICE, MODEL, 0, NOW);
    }
    pressure.refused(SERVICE, MODEL, 0, NOW);
    assertFalse(pressure.isPressed(SERVICE, NOW));
    assertFalse(pressure.refuses(SERVICE, MODEL, 0, NOW));
  }

  @Test
  void usageOfAccountsAddsUpOverInstancesAndDecays() {
    KnowledgeTable<AccountUsage> own = new KnowledgeTable<>(AccountUsageSharing.KIND);
    KnowledgeTable<AccountUsage> other = new KnowledgeTable<>(AccountUsageSharing.KIND);
    AccountUsageSharing sharing = new AccountUsageSharing(own);
    AccountUsageSharing otherSharing = new AccountUsageSharing(other);
    sharing.usage().given("account", 1_000, NOW);
    otherSharing.usage().given("account", 2_000, NOW);
    otherSharing.publish(NOW);
    send(other, own, NOW);
    assertEquals(3_000, sharing.usage().of("account", NOW), 1);
    double later = sharing.usage().of("account", NOW + 2_500);
    assertEquals(3_000 * Math.exp(-0.5), later, 1);
  }

  @Test
  void usageWithoutAccountsIsNotPublished() {
    KnowledgeTable<AccountUsage> own = new KnowledgeTable<>(AccountUsageSharing.KIND);
    AccountUsageSharing sharing = new AccountUsageSharing(own);
    sharing.usage().given(AccountWeights.NO_ACCOUNT, 1_000, NOW);
    sharing.publish(NOW);
    assertTrue(own.all(NOW).isEmpty());
  }
}
