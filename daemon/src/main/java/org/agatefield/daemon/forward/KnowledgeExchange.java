package org.agatefield.daemon.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.agatefield.knowledge.KnowledgeKind;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.agatefield.membership.DomainRelays;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;

/**
 * Exchanges the tables of shared knowledge with other instances.
 *
 * <p>Messages take the same way as those of {@link LoadExchange}: directly between neighbours in a
 * small failure domain, through the relay of a large one, and summed up between domains, so that an
 * instance sends and receives the same number of messages in a fleet of any size. Only what has
 * changed since the last report is sent, and everything once in a third of its maximum age, so that
 * a lost message or a new instance delays knowledge but does not lose it. Invariant: a report holds
 * at most {@link #MAXIMUM_FACTS} facts of a kind. Confined to one event loop.
 */
final class KnowledgeExchange {
  /** Interval at which {@link #sendReports} must be called. */
  static final long PERIOD_MILLISECONDS = 480;

  private static final int PERIODS_PER_DISTANT_REPORT = 2; // Traffic between domains is charged.
  private static final int MAXIMUM_FACTS = 160; // About 4 KB.
  private static final long REPEATS_PER_MAXIMUM_AGE = 3;
  private static final long RELAY_TIMEOUT_MILLISECONDS = 3 * PERIOD_MILLISECONDS;
  private static final String DOMAIN_PREFIX = "domain/";

  private final LoadExchange.Fleet fleet;
  private final FailureDomain localDomain;
  private final LongSupplier clock;
  private final Map<String, KnowledgeTable<?>> tables = new LinkedHashMap<>();
  private final Map<Destination, Sent> sent = new HashMap<>();
  private long periods;
  private long relayHeardAt;

  /** What one receiver was sent of one kind. */
  private record Destination(String receiver, String kind) {}

  private record Sent(long revision, long completeAt) {}

  /** The sources that a report covers besides this instance. */
  private interface Coverage {
    Collection<String> of(KnowledgeTable<?> table);
  }

  KnowledgeExchange(LoadExchange.Fleet fleet, FailureDomain localDomain, LongSupplier clock) {
    this.fleet = fleet;
    this.localDomain = localDomain;
    this.clock = clock;
    this.relayHeardAt = clock.getAsLong();
  }

  /** Adds a kind of knowledge and returns its table. */
  <V> KnowledgeTable<V> share(KnowledgeKind<V> kind) {
    KnowledgeTable<V> table = new KnowledgeTable<>(kind);
    tables.put(kind.name(), table);
    return table;
  }

  /** Sends the reports that are due in this period. */
  void sendReports(long nowMilliseconds) {
    periods++;
    DomainRelays relays = fleet.relays();
    boolean distant = periods % PERIODS_PER_DISTANT_REPORT == 0;
    if (!relays.domainHasRelay()) {
      relays.neighbours().forEach(each -> sendOwn(each, true, nowMilliseconds));
      if (distant) {
        sendToOtherDomains(relays, fleet.self().id(), table -> List.of(), nowMilliseconds);
      }
    } else if (relays.representsDomain()) {
      reportForDomain(relays, distant, nowMilliseconds);
    } else if (nowMilliseconds - relayHeardAt > RELAY_TIMEOUT_MILLISECONDS) {
      relays.neighbours().forEach(each -> sendOwn(each, true, nowMilliseconds));
    } else {
      sendOwn(relays.sources().get(0), true, nowMilliseconds);
    }
    forgetAbsentReceivers(relays);
  }

  private void sendOwn(Instance receiver, boolean withDomainKinds, long now) {
    send(receiver, fleet.self().id(), false, withDomainKinds, table -> List.of(), now);
  }

  private void reportForDomain(DomainRelays relays, boolean distant, long now) {
    relayHeardAt = now;
    Set<String> neighbourIds = new HashSet<>();
    relays.neighbours().forEach(each -> neighbourIds.add(each.id()));
    if (distant) {
      sendToOtherDomains(relays, domainName(), table -> neighbourIds, now);
    }
    for (Instance neighbour : relays.neighbours()) {
      send(neighbour, domainName(), true, true, table -> sourcesExcept(table, neighbour), now);
    }
  }

  private static Set<String> sourcesExcept(KnowledgeTable<?> table, Instance receiver) {
    Set<String> sources = table.sources();
    sources.remove(receiver.id());
    return sources;
  }

  private void sendToOtherDomains(DomainRelays relays, String source, Coverage coverage, long now) {
    List<Instance> receivers = new ArrayList<>(relays.directPeers());
    receivers.addAll(relays.relays());
    receivers.forEach(each -> send(each, source, false, false, coverage, now));
  }

  private void send(
      Instance receiver,
      String source,
      boolean whole,
      boolean withDomainKinds,
      Coverage coverage,
      long now) {
    List<PeerMessage.KnownKind> kinds = new ArrayList<>();
    for (KnowledgeTable<?> table : tables.values()) {
      if (withDomainKinds || table.kind().scope() == KnowledgeKind.Scope.FLEET) {
        select(table, receiver, coverage, now).ifPresent(kinds::add);
      }
    }
    if (!kinds.isEmpty()) {
      fleet.send(receiver, new PeerMessage.KnowledgeReport(source, whole, kinds));
    }
  }

  private <V> Optional<PeerMessage.KnownKind> select(
      KnowledgeTable<V> table, Instance receiver, Coverage coverage, long now) {
    Destination destination = new Destination(receiver.id(), table.kind().name());
    long repeatAfter = table.kind().maximumAgeMilliseconds() / REPEATS_PER_MAXIMUM_AGE;
    Sent last = sent.get(destination);
    boolean repeat = last == null || now - last.completeAt() >= repeatAfter;
    KnowledgeTable.Selection<V> selection =
        table.select(coverage.of(table), repeat ? 0 : last.revision(), MAXIMUM_FACTS, now);
    sent.put(destination, new Sent(selection.revision(), repeat ? now : last.completeAt()));
    if (selection.facts().isEmpty()) {
      return Optional.empty();
    }
    List<PeerMessage.KnownFact> facts = new ArrayList<>(selection.facts().size());
    selection
        .facts()
        .forEach(
            (subject, observed) ->
                facts.add(
                    new PeerMessage.KnownFact(
                        subject,
                        observed.ageMilliseconds(now),
                        table.kind().encode(observed.value()))));
    return Optional.of(new PeerMessage.KnownKind(table.kind().name(), facts));
  }

  private void forgetAbsentReceivers(DomainRelays relays) {
    Set<String> receivers = new HashSet<>();
    relays.neighbours().forEach(each -> receivers.add(each.id()));
    relays.directPeers().forEach(each -> receivers.add(each.id()));
    relays.relays().forEach(each -> receivers.add(each.id()));
    sent.keySet().removeIf(destination -> !receivers.contains(destination.receiver()));
  }

  /** Applies the report of an instance or for a failure domain. */
  void reportReceived(PeerMessage.KnowledgeReport report) {
    long now = clock.getAsLong();
    if (report.whole()) {
      relayHeardAt = now;
    }
    for (PeerMessage.KnownKind kind : report.kinds()) {
      KnowledgeTable<?> table = tables.get(kind.name());
      if (table != null) { // A later build may share kinds that this one does not know.
        apply(table, report, kind, now);
      }
    }
  }

  private <V> void apply(
      KnowledgeTable<V> table,
      PeerMessage.KnowledgeReport report,
      PeerMessage.KnownKind kind,
      long now) {
    if (report.whole()) {
      table.forgetSources(source -> !source.equals(report.source()));
    }
    for (PeerMessage.KnownFact fact : kind.facts()) {
      table
          .kind()
          .decode(fact.numbers())
          .ifPresent(
              value ->
                  table.receive(
                      report.source(),
                      fact.subject(),
                      new Observed<>(value, now - fact.ageMilliseconds()),
                      now));
    }
  }

  private String domainName() {
    return DOMAIN_PREFIX + localDomain.name();
  }
}
