package org.agatefield.forwarding.check;

import java.util.List;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.Route;

/**
 * A configuration with all entries as the operator wrote them, including those that others hide.
 * Immutable.
 *
 * @param version the version
 * @param routes the routes in their order
 * @param services the services in their order
 * @param accounts the client accounts in their order
 * @param limits the limits for incoming requests
 */
public record ForwardingDocument(
    Located<Long> version,
    List<Located<Route>> routes,
    List<LocatedService> services,
    List<Located<ClientAccount>> accounts,
    Located<IngressLimits> limits) {
  /** Copies the lists. */
  public ForwardingDocument {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    accounts = List.copyOf(accounts);
  }

  /** Returns the table that instances use. */
  public ForwardingTable toTable() {
    return new ForwardingTable(
        version.value(),
        routes.stream().map(Located::value).toList(),
        services.stream().map(each -> each.service().value()).toList(),
        accounts.isEmpty()
            ? AccountTable.NONE
            : new AccountTable(accounts.stream().map(Located::value).toList()),
        limits.value());
  }
}
