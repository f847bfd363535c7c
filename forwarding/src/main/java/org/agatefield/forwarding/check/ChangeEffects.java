package org.agatefield.forwarding.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.KeyDigest;
import org.agatefield.forwarding.RetryMode;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.forwarding.TokenQuota;

/** Says what changes of a configuration do to requests. Immutable and thread safe. */
final class ChangeEffects {
  private static final double PERCENT = 100;

  private final ForwardingTable before;
  private final ForwardingTable after;

  ChangeEffects(ForwardingTable before, ForwardingTable after) {
    this.before = before;
    this.after = after;
  }

  List<String> ofRoute(Optional<Route> from, Optional<Route> to) {
    if (from.isPresent() && to.isPresent()) {
      return ofChangedRoute(from.get(), to.get());
    }
    return from.map(this::ofLostPrefix).orElseGet(() -> ofNewPrefix(to.orElseThrow()));
  }

  private List<String> ofLostPrefix(Route route) {
    String requests = "requests for " + route.host() + route.pathPrefix();
    return List.of(
        after
            .match(route.host(), route.pathPrefix())
            .map(next -> requests + " go to route " + next.name())
            .orElse(requests + " are answered with 404"));
  }

  private List<String> ofNewPrefix(Route route) {
    String requests = "requests for " + route.host() + route.pathPrefix();
    return List.of(
        before
            .match(route.host(), route.pathPrefix())
            .map(previous -> requests + " leave route " + previous.name())
            .orElse(requests + " are no longer answered with 404"));
  }

  private List<String> ofChangedRoute(Route from, Route to) {
    List<String> effects = new ArrayList<>();
    if (!from.host().equals(to.host()) || !from.pathPrefix().equals(to.pathPrefix())) {
      effects.addAll(ofLostPrefix(from));
      effects.addAll(ofNewPrefix(to));
    }
    if (!from.services().equals(to.services())) {
      effects.add("requests move between services");
    }
    if (from.retryMode() != to.retryMode()) {
      effects.add(
          to.retryMode() == RetryMode.NEVER
              ? "requests are not run again"
              : "requests may be run again");
    }
    if (to.timeoutMilliseconds() < from.timeoutMilliseconds()) {
      effects.add("callers wait for a shorter time");
    }
    if (from.open() != to.open() && after.accounts().requiresKeys()) {
      effects.add(to.open() ? "requests need no key" : "requests without a key are refused");
    }
    return effects;
  }

  List<String> ofService(Optional<ServiceDefinition> from, Optional<ServiceDefinition> to) {
    if (to.isEmpty()) {
      return List.of("its limits and models are no longer known");
    }
    boolean fewer =
        from.isPresent() && to.get().maximumConnections() < from.get().maximumConnections();
    return fewer ? List.of("fewer connections to each runner") : List.of();
  }

  List<String> ofModel(Optional<ServedModel> from, Optional<ServedModel> to) {
    if (to.isEmpty()) {
      return List.of("no runner of the service loads this model any more");
    }
    return from.isEmpty() ? List.of("runners of the service may load this model") : List.of();
  }

  List<String> ofAccount(Optional<ClientAccount> from, Optional<ClientAccount> to) {
    List<String> effects = new ArrayList<>();
    boolean first = !before.accounts().requiresKeys() && after.accounts().requiresKeys();
    boolean last = before.accounts().requiresKeys() && !after.accounts().requiresKeys();
    if (first) {
      effects.add("the first account: requests without a key are refused, except on open routes");
    }
    if (last) {
      effects.add("the last account: requests need no key any more");
    }
    Set<KeyDigest> lost = new HashSet<>(from.map(ClientAccount::keys).orElse(Set.of()));
    lost.removeIf(key -> after.accounts().accountFor(key).isPresent());
    if (!lost.isEmpty() && !last) {
      effects.add("requests with " + KeyText.of(lost) + " are refused");
    }
    if (from.isPresent() && to.isPresent()) {
      ofQuota(from.get().quota(), to.get().quota()).ifPresent(effects::add);
    }
    return effects;
  }

  private static Optional<String> ofQuota(Optional<TokenQuota> from, Optional<TokenQuota> to) {
    if (to.isEmpty()) {
      return from.map(ignored -> "the account has no limit any more");
    }
    if (from.isEmpty()) {
      return Optional.of("the account is limited from now on");
    }
    if (from.get().unit() != to.get().unit()) {
      return Optional.of("the quota counts in another unit");
    }
    double share = to.get().perSecond() / from.get().perSecond();
    return share < 1
        ? Optional.of("the quota is cut to " + Math.round(share * PERCENT) + " %")
        : Optional.empty();
  }
}
