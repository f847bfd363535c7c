package org.agatefield.forwarding.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.KeyDigest;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.WeightedService;

/**
 * Finds entries that no request ever reaches.
 *
 * <p>Each instance checks one configuration, on one thread.
 */
final class UnreachableEntries {
  private final ForwardingDocument document;
  private final FindingList findings;

  private UnreachableEntries(ForwardingDocument document, FieldNames names) {
    this.document = document;
    this.findings = new FindingList(names);
  }

  static List<Finding> check(ForwardingDocument document, FieldNames names) {
    UnreachableEntries check = new UnreachableEntries(document, names);
    check.checkRoutes();
    check.checkSplits();
    check.checkServices();
    check.checkAccounts();
    check.document.services().forEach(check::checkModels);
    return check.findings.toList();
  }

  private void checkRoutes() {
    Map<List<String>, Located<Route>> lastByPrefix = new HashMap<>();
    document
        .routes()
        .forEach(each -> lastByPrefix.put(List.of(each.value().host(), prefix(each)), each));
    for (Located<Route> route : document.routes()) {
      String prefix = prefix(route);
      Located<Route> last = lastByPrefix.get(List.of(route.value().host(), prefix));
      findings.addIf(
          last != route,
          route,
          Field.PATH_PREFIX,
          "the prefix that " + last.path() + " has too",
          "a prefix that no later route of the host repeats; this one never matches");
      findings.addIf(
          !prefix.startsWith("/") || !prefix.endsWith("/"),
          route,
          Field.PATH_PREFIX,
          quote(prefix),
          "a prefix that begins and ends with a slash");
      String host = route.value().host();
      boolean port = host.lastIndexOf(':') > host.lastIndexOf(']');
      findings.addIf(
          host.isBlank() || port, route, Field.HOST, quote(host), "a host without a port");
    }
    checkNames(document.routes(), Route::name);
  }

  private static String prefix(Located<Route> route) {
    return route.value().pathPrefix();
  }

  private void checkSplits() {
    Set<String> defined =
        document.services().stream().map(LocatedService::name).collect(Collectors.toSet());
    for (Located<Route> route : document.routes()) {
      List<WeightedService> services = route.value().services();
      boolean none = services.stream().noneMatch(each -> each.weight() > 0);
      findings.addIf(
          none, route, Field.SERVICES, "no weight above 0", "at least one weight above 0");
      for (WeightedService each : services) {
        findings.addIf(
            !defined.contains(each.service()),
            route,
            Field.SERVICES,
            quote(each.service()),
            "a service of this configuration");
        findings.addIf(
            !none && each.weight() <= 0,
            route,
            Field.SERVICES,
            quote(each.service()) + " with a weight of " + each.weight(),
            "a weight above 0, or no entry; the service gets none of the route's requests");
      }
    }
  }

  private void checkServices() {
    Set<String> used =
        document.routes().stream()
            .flatMap(route -> route.value().services().stream())
            .map(WeightedService::service)
            .collect(Collectors.toSet());
    for (LocatedService service : document.services()) {
      findings.addIf(
          !used.contains(service.name()),
          service.service(),
          Field.NAME,
          quote(service.name()) + ", to which no route forwards",
          "a service of some route");
    }
    checkNames(
        document.services().stream().map(LocatedService::service).toList(),
        service -> service.name());
  }

  private void checkAccounts() {
    AccountTable table =
        new AccountTable(document.accounts().stream().map(Located::value).toList());
    for (Located<ClientAccount> account : document.accounts()) {
      Set<KeyDigest> keys = account.value().keys();
      findings.addIf(keys.isEmpty(), account, Field.KEYS, "no key", "a key; no request matches");
      List<KeyDigest> taken =
          keys.stream()
              .filter(key -> table.accountFor(key).orElseThrow() != account.value())
              .toList();
      if (taken.isEmpty()) {
        continue;
      }
      String consequence =
          taken.size() == keys.size() ? "; no request matches" : "; requests count for the later";
      findings.add(
          account,
          Field.KEYS,
          KeyText.of(taken) + ", which a later account has too",
          "keys that no other account has" + consequence);
    }
    checkNames(document.accounts(), ClientAccount::name);
  }

  private void checkModels(LocatedService service) {
    Optional<EnginePool> engines = service.service().value().engines();
    if (engines.isEmpty()) {
      return;
    }
    double memory = engines.get().weightsMegabytes();
    for (Located<ServedModel> model : service.models()) {
      double weights = model.value().weightsMegabytes();
      findings.addIf(
          weights > memory,
          model,
          Field.WEIGHTS,
          weights + ", which no runner can load",
          "at most the " + memory + " of a runner");
      double adapter = model.value().adapterMegabytes();
      findings.addIf(
          adapter > 0 && weights <= memory && weights + adapter > memory,
          model,
          Field.ADAPTER_WEIGHTS,
          adapter + " beside weights of " + weights + ", which no runner can load",
          "together at most the " + memory + " of a runner");
      findings.addIf(
          adapter > 0 && engines.get().adapterSlots() < 1,
          model,
          Field.ADAPTER_WEIGHTS,
          adapter + ", but runners have no slot for adapters",
          "at least one slot, or no adapters");
    }
    checkNames(service.models(), ServedModel::name);
  }

  private <T> void checkNames(List<Located<T>> entries, Function<T, String> name) {
    Set<String> seen = new HashSet<>();
    for (Located<T> entry : entries) {
      String each = name.apply(entry.value());
      findings.addIf(
          !seen.add(each), entry, Field.NAME, quote(each) + " once more", "a unique name");
    }
  }

  private static String quote(String text) {
    return "'" + text + "'";
  }
}
