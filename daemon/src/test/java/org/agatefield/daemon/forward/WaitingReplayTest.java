package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.agatefield.forwarding.TokenQuota;
import org.junit.jupiter.api.Test;

/** Replays loads in which callers compete for room, with and without its allocation. */
class WaitingReplayTest {
  private static final WaitingReplay.Kind URGENT =
      new WaitingReplay.Kind("urgent", 0, 1_000, 5_000, 2_000);
  private static final WaitingReplay.Kind DRAFT =
      new WaitingReplay.Kind("draft", 1, 1_200, 15_000, 1_460);
  private static final WaitingReplay.Kind PATIENT =
      new WaitingReplay.Kind("patient", 2, 5_000, 8_000, 2_000);
  private static final int URGENT_INDEX = 0;
  private static final int DRAFT_INDEX = 1;
  private static final int PATIENT_INDEX = 2;
  private static final int INSTANCES = 16;
  private static final int RUNNERS = 10;
  private static final double DURATION_SECONDS = 30;
  private static final double END_SECONDS = 60;
  private static final double BURST_FROM_SECONDS = 8;
  private static final double BURST_TO_SECONDS = 14;
  // The lead of a less urgent kind that callers accept, in the share that is served.
  private static final double ACCEPTED_LEAD = 0.05;
  private static final double LEAST_SERVED_RELATIVE_TO_ALL = 0.25;
  private static final int ACCOUNTS = 16;

  private static boolean inBurst(double seconds) {
    return seconds >= BURST_FROM_SECONDS && seconds < BURST_TO_SECONDS;
  }

  private static WaitingReplay replay(boolean allocated) {
    return new WaitingReplay(
        allocated, INSTANCES, RUNNERS, List.of(URGENT, DRAFT, PATIENT), Map.of());
  }

  /** Adds all kinds at a load relative to what the runners can read. */
  private static WaitingReplay mixed(WaitingReplay replay, DoubleUnaryOperator load) {
    double capacity = replay.capacityPerSecond(URGENT.tokens());
    replay.arrive(
        "urgent",
        URGENT_INDEX,
        "",
        at -> 0.65 * capacity * load.applyAsDouble(at),
        DURATION_SECONDS);
    replay.arrive(
        "draft", DRAFT_INDEX, "", at -> 0.2 * capacity * load.applyAsDouble(at), DURATION_SECONDS);
    replay.arrive(
        "patient",
        PATIENT_INDEX,
        "",
        at -> 0.15 * capacity * load.applyAsDouble(at),
        DURATION_SECONDS);
    return replay;
  }

  private static Map<String, WaitingReplay.Outcomes> tripleLoad(boolean allocated) {
    return mixed(replay(allocated), at -> inBurst(at) ? 3 : 0.7).run(END_SECONDS);
  }

  private static void assertUrgentIsNotServedLessOften(Map<String, WaitingReplay.Outcomes> all) {
    double urgent = all.get("urgent").servedShare();
    double patient = all.get("patient").servedShare();
    assertTrue(urgent >= patient - ACCEPTED_LEAD, all.toString());
    int asked = all.values().stream().mapToInt(each -> each.asked).sum();
    int served = all.values().stream().mapToInt(WaitingReplay.Outcomes::served).sum();
    for (WaitingReplay.Outcomes each : all.values()) {
      assertTrue(
          each.servedShare() >= LEAST_SERVED_RELATIVE_TO_ALL * served / asked, all.toString());
    }
  }

  @Test
  void urgentRequestsAreServedAsOftenAsPatientOnesAtThreeTimesTheLoad() {
    assertUrgentIsNotServedLessOften(tripleLoad(true));
  }

  @Test
  void fewerCallersAreRefusedAgainAtThreeTimesTheLoad() {
    int before = refusedAgain(tripleLoad(false));
    int now = refusedAgain(tripleLoad(true));
    assertTrue(now < before, now + " refused again, without an allocation " + before);
  }

  private static int refusedAgain(Map<String, WaitingReplay.Outcomes> all) {
    return all.values().stream().mapToInt(each -> each.refusedAgain).sum();
  }

  @Test
  void urgentRequestsAreServedAsOftenAsPatientOnesInWaves() {
    DoubleUnaryOperator wave = at -> 1.2 * (1 + 0.55 * Math.sin(2 * Math.PI * at / 17));
    assertUrgentIsNotServedLessOften(mixed(replay(true), wave).run(END_SECONDS));
  }

  @Test
  void burstOfUrgentRequestsPassesPatientOnes() {
    WaitingReplay replay = replay(true);
    double capacity = replay.capacityPerSecond(URGENT.tokens());
    replay.arrive(
        "urgent", URGENT_INDEX, "", at -> capacity * (inBurst(at) ? 1.2 : 0.4), DURATION_SECONDS);
    replay.arrive("patient", PATIENT_INDEX, "", at -> capacity * 0.5, DURATION_SECONDS);
    assertUrgentIsNotServedLessOften(replay.run(END_SECONDS));
  }

  @Test
  void urgentRequestsAreServedAsOftenAfterAnInstanceHasRestartedInThePeak() {
    WaitingReplay replay = mixed(replay(true), at -> inBurst(at) ? 3 : 0.7);
    replay.restartAt(10_000, 0);
    assertUrgentIsNotServedLessOften(replay.run(END_SECONDS));
  }

  @Test
  void urgentRequestsAreServedAsOftenWhenInstancesLoseEachOther() {
    WaitingReplay replay = mixed(replay(true), at -> inBurst(at) ? 3 : 0.7);
    replay.cutExchangeAt(9_000);
    assertUrgentIsNotServedLessOften(replay.run(END_SECONDS));
  }

  private static WaitingReplay hotAccount() {
    Map<String, TokenQuota> quotas = new TreeMap<>();
    for (int account = 0; account < ACCOUNTS; account++) {
      quotas.put("account-" + account, new TokenQuota(10_000, 10_000, TokenQuota.Unit.TOKENS, 100));
    }
    WaitingReplay replay =
        new WaitingReplay(true, INSTANCES, RUNNERS, List.of(URGENT, DRAFT, PATIENT), quotas);
    double capacity = replay.capacityPerSecond(URGENT.tokens());
    replay.arrive(
        "hot",
        URGENT_INDEX,
        "account-0",
        at -> capacity * (inBurst(at) ? 7.5 * 0.2 : 0.2),
        DURATION_SECONDS);
    for (int account = 1; account < ACCOUNTS; account++) {
      replay.arrive(
          "light", URGENT_INDEX, "account-" + account, at -> capacity * 0.04, DURATION_SECONDS);
    }
    return replay;
  }

  private static void assertLightAccountsAreServed(Map<String, WaitingReplay.Outcomes> all) {
    assertTrue(all.get("light").servedShare() >= 1 - ACCEPTED_LEAD, all.toString());
    assertTrue(all.get("hot").servedShare() >= LEAST_SERVED_RELATIVE_TO_ALL, all.toString());
  }

  @Test
  void lightAccountsAreServedBesideOneThatSendsManyTimesItsUsual() {
    assertLightAccountsAreServed(hotAccount().run(END_SECONDS));
  }

  @Test
  void lightAccountsAreServedWhenInstancesLoseEachOther() {
    WaitingReplay replay = hotAccount();
    replay.cutExchangeAt(9_000);
    assertLightAccountsAreServed(replay.run(END_SECONDS));
  }
}
