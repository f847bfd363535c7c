package org.agatefield.store;

/** The kinds of objects in the platform's store. */
public enum ObjectKind {
  /** The intended configuration, of which there is exactly one. */
  CONFIGURATION("configurations"),
  /** Earlier configurations, kept separately so that listing the current one does not read them. */
  CONFIGURATION_HISTORY("configurationhistories"),
  /** Leases with their fencing tokens. */
  LEASE("leases"),
  /** One memory ledger for each model runner. */
  LEDGER("ledgers"),
  /** Claims and outcomes of calls that must not be repeated. */
  CLAIM("claims"),
  /** Status reports of the daemons for operators. */
  STATUS("statuses"),
  /** The platform's list of live and leaving instances and upstreams; read-only. */
  INSTANCE("instances"),
  /** The runners' entries, on platforms that store them; read-only. */
  RUNNER("runners"),
  /** Prompt parts with which no request may be sent to runners. */
  QUARANTINE("quarantines");

  private final String plural;

  ObjectKind(String plural) {
    this.plural = plural;
  }

  /** Returns the name of the kind in request paths. */
  public String plural() {
    return plural;
  }
}
