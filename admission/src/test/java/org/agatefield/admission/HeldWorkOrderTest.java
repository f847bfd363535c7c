package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class HeldWorkOrderTest {
  private static final String SERVICE = "pool";
  private static final long NOW = 10_000;
  private static final double MAXIMUM_COST = 10;

  private record Held(
      long id,
      String caller,
      int weight,
      double cost,
      int rank,
      long objectiveAt,
      long dueAt,
      boolean returned)
      implements HeldWork {
    @Override
    public String service() {
      return SERVICE;
    }
  }

  private static Held timely(long id, String caller, int rank) {
    return new Held(id, caller, 1, 1, rank, NOW + 1_000, NOW + 5_000 + id, false);
  }

  private static HeldWorkOrder newOrder(RecentUsage.Elsewhere elsewhere) {
    return new HeldWorkOrder(new RecentUsage(elsewhere), new UrgencyShares());
  }

  private static HeldWorkOrder newOrder() {
    return newOrder((account, now) -> 0);
  }

  @Provide
  Arbitrary<List<Held>> waiting() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 4),
            Arbitraries.doubles().between(1, MAXIMUM_COST),
            Arbitraries.integers().between(0, 2),
            Arbitraries.longs().between(NOW - 500, NOW + 2_000),
            Arbitraries.longs().between(NOW + 100, NOW + 9_000),
            Arbitraries.of(true, false))
        .as(
            (caller, cost, rank, objectiveAt, dueAt, returned) ->
                new Held(0, "c" + caller, caller + 1, cost, rank, objectiveAt, dueAt, returned))
        .list()
        .ofMaxSize(60)
        .map(
            list -> {
              List<Held> numbered = new ArrayList<>();
              for (Held each : list) {
                numbered.add(
                    new Held(
                        numbered.size(),
                        each.caller(),
                        each.weight(),
                        each.cost(),
                        each.rank(),
                        each.objectiveAt(),
                        each.dueAt(),
                        each.returned()));
              }
              return numbered;
            });
  }

  @Property(tries = 200, seed = "42")
  void orderHasAllWorkOnce(@ForAll("waiting") List<Held> waiting) {
    List<Held> ordered = newOrder().order(waiting, NOW);
    assertEquals(waiting.size(), ordered.size());
    assertEquals(new HashSet<>(waiting), new HashSet<>(ordered));
  }

  @Property(tries = 200, seed = "42")
  void orderDoesNotDependOnArrangementOfWork(@ForAll("waiting") List<Held> waiting) {
    List<Held> reversed = new ArrayList<>(waiting);
    Collections.reverse(reversed);
    assertEquals(newOrder().order(waiting, NOW), newOrder().order(reversed, NOW));
  }

  @Property(tries = 200, seed = "42")
  void ranksWithWorkGetTheirGuaranteedShareOfEachBeginning(@ForAll("waiting") List<Held> waiting) {
    List<Held> ordered = newOrder().order(waiting, NOW);
    Map<Integer, Double> given = new HashMap<>();
    double total = 0;
    for (int position = 0; position < ordered.size(); position++) {
      for (Held behind : ordered.subList(position, ordered.size())) {
        double share = given.getOrDefault(behind.rank(), 0.0);
        // Another rank that is owed its share may come first.
        double allowance = 3 * MAXIMUM_COST;
        assertTrue(share >= UrgencyShares.GUARANTEED_SHARE * total - allowance);
      }
      Held next = ordered.get(position);
      given.merge(next.rank(), next.cost(), Double::sum);
      total += next.cost();
    }
  }

  @Property(tries = 200, seed = "42")
  void accountsThatAlwaysWaitShareByWeightWithinOneRequest(@ForAll("waiting") List<Held> waiting) {
    List<Held> sameGroup = new ArrayList<>();
    for (Held each : waiting) {
      sameGroup.add(
          new Held(
              each.id(),
              each.caller(),
              each.weight(),
              each.cost(),
              0,
              NOW + 1_000,
              each.dueAt(),
              each.returned()));
    }
    List<Held> ordered = newOrder().order(sameGroup, NOW);
    Map<String, Double> given = new HashMap<>();
    for (int position = 0; position < ordered.size(); position++) {
      Held next = ordered.get(position);
      for (Held behind : ordered.subList(position + 1, ordered.size())) {
        double nextShare = given.getOrDefault(next.caller(), 0.0) / next.weight();
        double otherShare = given.getOrDefault(behind.caller(), 0.0) / behind.weight();
        assertTrue(nextShare <= otherShare + 1e-9, next + " before " + behind);
      }
      given.merge(next.caller(), next.cost(), Double::sum);
    }
  }

  @Test
  void moreUrgentWorkComesFirst() {
    Held patient = timely(1, "account", 2);
    Held urgent = timely(2, "account", 0);
    assertEquals(List.of(urgent, patient), newOrder().order(List.of(patient, urgent), NOW));
  }

  @Test
  void workThatMissesItsObjectiveYieldsToWorkOfItsRank() {
    Held late = new Held(1, "account", 1, 1, 0, NOW - 1, NOW + 100, false);
    Held timely = timely(2, "account", 0);
    assertEquals(List.of(timely, late), newOrder().order(List.of(late, timely), NOW));
  }

  @Test
  void callersThatHaveComeBackAreFirstOfTheirAccount() {
    Held first = timely(1, "account", 0);
    Held returned = new Held(2, "account", 1, 1, 0, NOW + 1_000, NOW + 9_000, true);
    assertEquals(List.of(returned, first), newOrder().order(List.of(first, returned), NOW));
  }

  @Test
  void accountThatWasGivenMuchByOtherInstancesComesLater() {
    Held hot = timely(1, "hot", 0);
    Held light = timely(2, "light", 0);
    HeldWorkOrder order = newOrder((account, now) -> account.equals("hot") ? 1_000 : 0);
    assertEquals(List.of(light, hot), order.order(List.of(hot, light), NOW));
  }

  @Test
  void usageIsForgottenAfterSomeTime() {
    RecentUsage usage = new RecentUsage((account, now) -> 0);
    usage.given("hot", 1_000, NOW);
    assertEquals(1_000, usage.of("hot", NOW), 1e-6);
    double later = usage.of("hot", NOW + 4 * RecentUsage.TIME_CONSTANT_MILLISECONDS);
    assertTrue(later < 20, "left " + later);
  }
}
