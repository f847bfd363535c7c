package org.agatefield.forwarding.check;

import java.util.List;
import java.util.OptionalLong;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.RetryMode;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.TokenQuota;

/**
 * Finds limits that contradict each other or what an instance or runner can hold.
 *
 * <p>Each instance checks one configuration, on one thread.
 */
final class ContradictoryLimits {
  private final ForwardingDocument document;
  private final FindingList findings;

  private ContradictoryLimits(ForwardingDocument document, FieldNames names) {
    this.document = document;
    this.findings = new FindingList(names);
  }

  static List<Finding> check(ForwardingDocument document, FieldNames names) {
    ContradictoryLimits check = new ContradictoryLimits(document, names);
    document.routes().forEach(check::checkRoute);
    document.services().forEach(check::checkService);
    document.accounts().forEach(check::checkQuota);
    check.checkIngress(document.limits());
    return check.findings.toList();
  }

  private void checkRoute(Located<Route> located) {
    Route route = located.value();
    findings.addIf(
        route.timeoutMilliseconds() < Math.max(1, route.objectiveMilliseconds()),
        located,
        Field.TIMEOUT,
        route.timeoutMilliseconds() + " below the objective " + route.objectiveMilliseconds(),
        "a positive time of at least the objective");
    boolean stream = route.kind() == RouteKind.STREAM;
    findings.addIf(
        !stream && route.gapObjectiveMilliseconds() > 0,
        located,
        Field.GAP_OBJECTIVE,
        route.gapObjectiveMilliseconds() + " on a route without events",
        "no such objective, or a stream");
    findings.addIf(
        !stream && route.resumable(),
        located,
        Field.RESUMABLE,
        "true on a route without events",
        "false, or a stream");
    findings.addIf(
        route.maximumAttempts() < 1,
        located,
        Field.MAXIMUM_ATTEMPTS,
        Integer.toString(route.maximumAttempts()),
        "at least 1");
    findings.addIf(
        route.maximumAttempts() > 1 && route.retryMode() == RetryMode.NEVER,
        located,
        Field.MAXIMUM_ATTEMPTS,
        route.maximumAttempts() + " on a route that must not repeat",
        "1; others are used only after a runner says that it did not run the request");
  }

  private void checkService(LocatedService service) {
    int connections = service.service().value().maximumConnections();
    findings.addIf(
        connections < 1,
        service.service(),
        Field.MAXIMUM_CONNECTIONS,
        Integer.toString(connections),
        "at least 1");
    service.engines().forEach(this::checkEngines);
  }

  private void checkEngines(Located<EnginePool> located) {
    EnginePool engines = located.value();
    findings.addIf(
        engines.batchSlots() < 1,
        located,
        Field.BATCH_SLOTS,
        Integer.toString(engines.batchSlots()),
        "at least 1");
    findings.addIf(
        engines.cacheTokens() < 1,
        located,
        Field.CACHE_TOKENS,
        Long.toString(engines.cacheTokens()),
        "at least the tokens of one request");
    findings.addIf(
        !engines.models().isEmpty() && engines.loadsPerSecond() <= 0,
        located,
        Field.LOAD_RATE,
        Double.toString(engines.loadsPerSecond()),
        "a rate above 0; no model can be loaded");
  }

  private void checkQuota(Located<ClientAccount> account) {
    account.value().quota().ifPresent(quota -> checkQuota(account, quota));
  }

  private void checkQuota(Located<ClientAccount> account, TokenQuota quota) {
    boolean tokens = quota.unit() == TokenQuota.Unit.TOKENS;
    double smallest = tokens ? quota.plainTokens() : 1;
    if (quota.burst() < smallest) {
      findings.add(
          account,
          Field.QUOTA_BURST,
          quota.burst() + " below the cost of one request, " + smallest,
          "at least one request");
      return;
    }
    OptionalLong largest = largestRequestTokens();
    double quotaOfOneSecond = quota.burst() + quota.perSecond();
    findings.addIf(
        tokens && largest.isPresent() && quotaOfOneSecond < largest.getAsLong(),
        account,
        Field.QUOTA_RATE,
        quotaOfOneSecond + " tokens with the burst in a second",
        "at least the largest request that a runner takes, "
            + largest.orElse(0)
            + " tokens, unless the account sends only smaller ones");
  }

  private OptionalLong largestRequestTokens() {
    return document.services().stream()
        .flatMap(service -> service.engines().stream())
        .mapToLong(engines -> engines.value().cacheTokens())
        .max();
  }

  private void checkIngress(Located<IngressLimits> located) {
    IngressLimits limits = located.value();
    findings.addIf(
        limits.headerBytes() < 1 || limits.headerBytes() > IngressLimits.INSTANCE_HEADER_BYTES,
        located,
        Field.HEADER_BYTES,
        Integer.toString(limits.headerBytes()),
        "1 to the " + IngressLimits.INSTANCE_HEADER_BYTES + " that an instance takes");
    findings.addIf(
        limits.bodyBytes() < 0 || limits.bodyBytes() > IngressLimits.INSTANCE_BODY_BYTES,
        located,
        Field.BODY_BYTES,
        Long.toString(limits.bodyBytes()),
        "0 to the "
            + IngressLimits.INSTANCE_BODY_BYTES
            + " that an instance holds of all requests");
    findings.addIf(
        limits.headerTimeoutMilliseconds() < 1,
        located,
        Field.HEADER_TIMEOUT,
        Long.toString(limits.headerTimeoutMilliseconds()),
        "a positive time");
    findings.addIf(
        limits.idleTimeoutMilliseconds() < 1,
        located,
        Field.IDLE_TIMEOUT,
        Long.toString(limits.idleTimeoutMilliseconds()),
        "a positive time");
  }
}
