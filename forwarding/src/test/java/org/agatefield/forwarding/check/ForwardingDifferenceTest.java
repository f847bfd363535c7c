package org.agatefield.forwarding.check;

import static org.agatefield.forwarding.check.ForwardingSamples.account;
import static org.agatefield.forwarding.check.ForwardingSamples.changed;
import static org.agatefield.forwarding.check.ForwardingSamples.model;
import static org.agatefield.forwarding.check.ForwardingSamples.route;
import static org.agatefield.forwarding.check.ForwardingSamples.service;
import static org.agatefield.forwarding.check.ForwardingSamples.tokens;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.agatefield.forwarding.KeyDigest;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.forwarding.check.ForwardingSamples.Builder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ForwardingDifferenceTest {
  private static Arguments when(String name, Consumer<Builder> change, String... effects) {
    return Arguments.of(name, change, Arrays.asList(effects));
  }

  static Stream<Arguments> changes() {
    return Stream.of(
        when(
            "a route is dropped",
            each -> each.routes.remove(0),
            "route/plain: requests for a.example/p/ are answered with 404"),
        when(
            "a dropped route leaves its requests to another one",
            each -> each.routes.set(0, route("all", "/", RouteKind.IDEMPOTENT, 2)),
            "route/all: requests for a.example/ are no longer answered with 404",
            "route/plain: requests for a.example/p/ go to route all"),
        when(
            "a route is split off",
            each -> each.routes.add(route("part", "/p/q/", RouteKind.IDEMPOTENT, 2)),
            "route/part: requests for a.example/p/q/ leave route plain"),
        when(
            "a route must not repeat any more",
            each -> each.routes.set(0, route("plain", "/p/", RouteKind.NON_IDEMPOTENT, 2)),
            "route/plain: requests are not run again"),
        when(
            "an account is cut",
            each ->
                each.accounts.set(
                    0, account("one", new TokenQuota(4_000, 90_000, tokens(), 200), "k1")),
            "account/one: the quota is cut to 40 %"),
        when(
            "the last account is dropped",
            each -> each.accounts.clear(),
            "account/one: the last account: requests need no key any more"),
        when(
            "a model is dropped",
            each -> each.services.set(0, service()),
            "model/s/small: no runner of the service loads this model any more"),
        when(
            "a model becomes heavier",
            each -> each.services.set(0, service(model("small", 1_500, 10)))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("changes")
  void changeTellsWhatItDoesToRequests(
      String name, Consumer<Builder> change, List<String> expected) {
    List<ForwardingChange> changes = between(changed(each -> {}), changed(change));
    assertTrue(!changes.isEmpty());
    assertEquals(
        expected,
        changes.stream()
            .flatMap(each -> each.effects().stream().map(effect -> each.path() + ": " + effect))
            .toList());
  }

  @Test
  void equalConfigurationsHaveNoDifference() {
    assertEquals(List.of(), between(changed(each -> {}), changed(each -> {})));
  }

  @Test
  void keysAreShownAsDigestsOnly() {
    ForwardingDocument after =
        changed(
            each ->
                each.accounts.set(
                    0, account("one", new TokenQuota(10_000, 90_000, tokens(), 200), "k2")));
    ForwardingChange change = between(changed(each -> {}), after).get(0);
    String lost = "sha256:" + KeyDigest.of("k1").toHex().substring(0, 12);
    String now = "sha256:" + KeyDigest.of("k2").toHex().substring(0, 12);
    assertEquals(List.of("keys: " + lost + " -> " + now), change.details());
    assertEquals(List.of("requests with " + lost + " are refused"), change.effects());
  }

  private static List<ForwardingChange> between(
      ForwardingDocument before, ForwardingDocument after) {
    return ForwardingDifference.between(before, after, ForwardingSamples.NAMES);
  }
}
