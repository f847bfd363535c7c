package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ForwardingTableTest {
  private final ForwardingTable table =
      new ForwardingTable(
          7,
          List.of(route("short", "/a/"), route("long", "/a/b/")),
          List.of(),
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

  @Test
  void requestsAreSplitByWeight() {
    Route route = table.match("spares.example", "/a/").orElseThrow();
    assertEquals("x", route.serviceFor(0.24));
    assertEquals("y", route.serviceFor(0.26));
    assertEquals("y", route.serviceFor(0.999));
  }
}
