package org.agatefield.store;

/** The kinds of object that agatefield keeps in the platform's store. */
public enum ObjectKind {
  /** The one intended configuration. */
  CONFIGURATION("configurations"),
  /** Earlier configurations; apart, so that those who list the current one do not read them. */
  CONFIGURATION_HISTORY("configurationhistories"),
  /** Leases with their fencing tokens. */
  LEASE("leases"),
  /** One memory ledger for each model runner. */
  LEDGER("ledgers"),
  /** Claims and outcomes of calls that must not repeat. */
  CLAIM("claims"),
  /** What the daemons report for operators. */
  STATUS("statuses"),
  /** The platform's own list of live and leaving instances and upstreams; read only. */
  INSTANCE("instances"),
  /** The runners' own entries, where a platform keeps them; read only. */
  RUNNER("runners");

  private final String plural;

  ObjectKind(String plural) {
    this.plural = plural;
  }

  /** Returns the name of the kind in request paths. */
  public String plural() {
    return plural;
  }
}
