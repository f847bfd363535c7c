package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ForwardingTableTest {
  private final ForwardingTable table =
      new ForwardingTable(
          7,
          List.of(route("short", "/a/"), route("long", "/a/b/")),
          List.of(
              new ServiceDefinition("x", 1, Optional.of(pool("m"))),
              new ServiceDefinition("y", 1, Optional.empty())),
          AccountTable.NONE,
          IngressLimits.DEFAULTS);

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "spares.example",
        prefix,
        RouteKind.IDEMPOTENT,
        1_000,
        100,
        0,
        0,
        2,
        false,
        false,
        List.of(new WeightedService("x", 1), new WeightedService("y", 3)));
  }

  @Test
  void longestPrefixMatches() {
    assertEquals("long", table.match("spares.example", "/a/b/c").orElseThrow().name());
    assertEquals("short", table.match("spares.example", "/a/c").orElseThrow().name());
  }

  @Test
  void portAndCaseOfTheHostAreIgnored() {
    assertTrue(table.match("Spares.Example:8149", "/a/").isPresent());
  }

  @Test
  void pathOrHostWithoutRouteDoesNotMatch() {
    assertTrue(table.match("spares.example", "/ab").isEmpty());
    assertTrue(table.match("other.example", "/a/").isEmpty());
  }

  private static EnginePool pool(String model) {
    return new EnginePool(1, 1, 1, 1, 1, List.of(new ServedModel(model, 1, 1, 1, 1, 1)));
  }

  @Test
  void serviceHasOnlyTheModelsOfItsEngines() {
    assertTrue(table.hasModel("x", "m"));
    assertFalse(table.hasModel("x", "n"));
    assertFalse(table.hasModel("y", "m"));
    assertFalse(table.hasModel("z", "m"));
  }

  @Test
  void requestsAreSplitByWeight() {
    Route route = table.match("spares.example", "/a/").orElseThrow();
    assertEquals("x", route.serviceFor(0.24));
    assertEquals("y", route.serviceFor(0.26));
    assertEquals("y", route.serviceFor(0.999));
  }
}
