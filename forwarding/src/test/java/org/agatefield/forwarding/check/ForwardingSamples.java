package org.agatefield.forwarding.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.KeyDigest;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.forwarding.WeightedService;

/** Configurations for tests. */
final class ForwardingSamples {
  static final FieldNames NAMES = field -> field.name().toLowerCase(Locale.ROOT);

  private ForwardingSamples() {}

  /** A configuration under construction. For use by one thread. */
  static final class Builder {
    final List<Route> routes = new ArrayList<>();
    final List<ServiceDefinition> services = new ArrayList<>();
    final List<ClientAccount> accounts = new ArrayList<>();
    IngressLimits limits = IngressLimits.DEFAULTS;

    ForwardingDocument build() {
      return new ForwardingDocument(
          new Located<>("$", 7L),
          locate("routes", routes),
          locate("services", services).stream().map(Builder::locateParts).toList(),
          locate("accounts", accounts),
          new Located<>("limits", limits));
    }

    private static LocatedService locateParts(Located<ServiceDefinition> service) {
      int models = service.value().engines().map(each -> each.models().size()).orElse(0);
      List<String> paths = new ArrayList<>();
      for (int i = 0; i < models; i++) {
        paths.add(service.path() + ".models[" + i + "]");
      }
      return new LocatedService(service, service.path() + ".engine", paths);
    }

    private static <T> List<Located<T>> locate(String list, List<T> values) {
      List<Located<T>> located = new ArrayList<>();
      for (T value : values) {
        located.add(new Located<>(list + "[" + located.size() + "]", value));
      }
      return located;
    }
  }

  /** Returns a configuration without findings. */
  static Builder sound() {
    Builder builder = new Builder();
    builder.routes.add(route("plain", "/p/", RouteKind.IDEMPOTENT, 2));
    builder.routes.add(route("stream", "/s/", RouteKind.STREAM, 1));
    builder.services.add(service(model("small", 1_000, 10)));
    builder.accounts.add(account("one", new TokenQuota(10_000, 90_000, tokens(), 200), "k1"));
    return builder;
  }

  static Route route(String name, String prefix, RouteKind kind, int attempts) {
    return route(name, prefix, kind, attempts, 2_000, 0, false, List.of(serviceShare(1)));
  }

  static Route route(
      String name,
      String prefix,
      RouteKind kind,
      int attempts,
      long timeout,
      long gap,
      boolean resumable,
      List<WeightedService> services) {
    return new Route(
        name,
        "a.example",
        prefix,
        kind,
        timeout,
        1_000,
        gap,
        1,
        attempts,
        resumable,
        false,
        services);
  }

  static WeightedService serviceShare(double weight) {
    return new WeightedService("s", weight);
  }

  static ServiceDefinition service(ServedModel... models) {
    return new ServiceDefinition(
        "s", 100, Optional.of(new EnginePool(8, 90_000, 2_000, 4, 1.5, List.of(models))));
  }

  static ServedModel model(String name, double weights, double adapter) {
    return new ServedModel(name, weights, 5_000, 1_000, 500, adapter);
  }

  static ClientAccount account(String name, TokenQuota quota, String... keys) {
    Set<KeyDigest> digests = new HashSet<>();
    for (String key : keys) {
      digests.add(KeyDigest.of(key));
    }
    return new ClientAccount(name, digests, OptionalInt.empty(), Optional.of(quota));
  }

  static TokenQuota.Unit tokens() {
    return TokenQuota.Unit.TOKENS;
  }

  static ForwardingDocument changed(Consumer<Builder> change) {
    Builder builder = sound();
    change.accept(builder);
    return builder.build();
  }
}
