package org.agatefield.forwarding.check;

import static org.agatefield.forwarding.check.ForwardingSamples.account;
import static org.agatefield.forwarding.check.ForwardingSamples.changed;
import static org.agatefield.forwarding.check.ForwardingSamples.model;
import static org.agatefield.forwarding.check.ForwardingSamples.route;
import static org.agatefield.forwarding.check.ForwardingSamples.service;
import static org.agatefield.forwarding.check.ForwardingSamples.serviceShare;
import static org.agatefield.forwarding.check.ForwardingSamples.tokens;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.forwarding.WeightedService;
import org.agatefield.forwarding.check.ForwardingSamples.Builder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ForwardingCheckTest {
  private static final TokenQuota QUOTA = new TokenQuota(10_000, 90_000, tokens(), 200);

  private static Arguments when(String name, Consumer<Builder> change, String... paths) {
    return Arguments.of(name, change, Arrays.asList(paths));
  }

  static Stream<Arguments> unreachableEntries() {
    return Stream.of(
        when(
            "a later route has the same prefix",
            each -> each.routes.add(route("again", "/p/", RouteKind.IDEMPOTENT, 1)),
            "routes[0].path_prefix"),
        when(
            "a longer prefix hides only a part of a route",
            each -> each.routes.add(route("part", "/p/q/", RouteKind.IDEMPOTENT, 1))),
        when(
            "a prefix does not begin with a slash",
            each -> each.routes.add(route("odd", "odd/", RouteKind.IDEMPOTENT, 1)),
            "routes[2].path_prefix"),
        when(
            "two routes have one name",
            each -> each.routes.add(route("plain", "/q/", RouteKind.IDEMPOTENT, 1)),
            "routes[2].name"),
        when(
            "a route names a service that does not exist",
            each -> each.routes.add(split(new WeightedService("none", 1))),
            "routes[2].services"),
        when(
            "a split has no weight",
            each -> each.routes.add(split(serviceShare(0))),
            "routes[2].services"),
        when(
            "a service of a split has no weight",
            each -> each.routes.add(split(serviceShare(1), serviceShare(0))),
            "routes[2].services"),
        when(
            "no route forwards to a service",
            each -> each.services.add(new ServiceDefinition("idle", 1, Optional.empty())),
            "services[1].name"),
        when(
            "another account has all keys",
            each -> each.accounts.add(account("two", QUOTA, "k1")),
            "accounts[0].keys"),
        when(
            "an account has no key",
            each -> each.accounts.add(account("two", QUOTA)),
            "accounts[1].keys"),
        when(
            "a model is heavier than the memory of a runner",
            each -> each.services.set(0, service(model("large", 2_001, 0))),
            "services[0].models[0].weights"),
        when(
            "an adapter does not fit beside its model",
            each -> each.services.set(0, service(model("large", 2_000, 1))),
            "services[0].models[0].adapter_weights"),
        when(
            "a model is listed twice",
            each -> each.services.set(0, service(model("m", 1, 0), model("m", 1, 0))),
            "services[0].models[1].name"));
  }

  static Stream<Arguments> contradictoryLimits() {
    return Stream.of(
        when(
            "a timeout is below the objective",
            each ->
                each.routes.add(
                    route(
                        "r",
                        "/r/",
                        RouteKind.IDEMPOTENT,
                        1,
                        999,
                        0,
                        false,
                        List.of(serviceShare(1)))),
            "routes[2].timeout"),
        when(
            "an objective for pauses and a resumption without a stream",
            each ->
                each.routes.add(
                    route(
                        "r",
                        "/r/",
                        RouteKind.IDEMPOTENT,
                        1,
                        2_000,
                        250,
                        true,
                        List.of(serviceShare(1)))),
            "routes[2].gap_objective",
            "routes[2].resumable"),
        when(
            "several attempts on a route that must not repeat",
            each -> each.routes.add(route("r", "/r/", RouteKind.NON_IDEMPOTENT, 2)),
            "routes[2].maximum_attempts"),
        when(
            "no attempt",
            each -> each.routes.add(route("r", "/r/", RouteKind.IDEMPOTENT, 0)),
            "routes[2].maximum_attempts"),
        when(
            "the burst is below one request",
            each ->
                each.accounts.add(account("two", new TokenQuota(100, 199, tokens(), 200), "k2")),
            "accounts[1].quota_burst"),
        when(
            "the quota is below the largest request",
            each ->
                each.accounts.add(account("two", new TokenQuota(100, 89_899, tokens(), 200), "k2")),
            "accounts[1].quota_rate"),
        when(
            "a quota in requests is not compared with tokens",
            each ->
                each.accounts.add(
                    account("two", new TokenQuota(1, 1, TokenQuota.Unit.REQUESTS, 1), "k2"))),
        when(
            "limits are above what an instance holds",
            each ->
                each.limits =
                    new IngressLimits(
                        IngressLimits.INSTANCE_HEADER_BYTES + 1,
                        IngressLimits.INSTANCE_BODY_BYTES + 1,
                        0,
                        0),
            "limits.header_bytes",
            "limits.body_bytes",
            "limits.header_timeout",
            "limits.idle_timeout"),
        when(
            "engines can run and load nothing",
            each ->
                each.services.set(
                    0,
                    new ServiceDefinition(
                        "s",
                        0,
                        Optional.of(new EnginePool(0, 0, 1, 0, 0, List.of(model("m", 1, 0)))))),
            "services[0].maximum_connections",
            "services[0].engine.batch_slots",
            "services[0].engine.cache_tokens",
            "services[0].engine.load_rate"));
  }

  private static Route split(WeightedService... services) {
    return route("r", "/r/", RouteKind.IDEMPOTENT, 1, 2_000, 0, false, List.of(services));
  }

  @Test
  void soundConfigurationHasNoFindings() {
    assertEquals(List.of(), paths(changed(each -> {})));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"unreachableEntries", "contradictoryLimits"})
  void findingsNameTheField(String name, Consumer<Builder> change, List<String> expected) {
    assertEquals(expected, paths(changed(change)));
  }

  private static List<String> paths(ForwardingDocument document) {
    return ForwardingCheck.check(document, ForwardingSamples.NAMES).stream()
        .map(Finding::path)
        .toList();
  }
}
