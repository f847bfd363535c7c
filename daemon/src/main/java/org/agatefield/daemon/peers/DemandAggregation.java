package org.agatefield.daemon.peers;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.DemandSource;
import org.agatefield.model.DemandSample;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.peer.PeerMessage.DemandReport;
import org.agatefield.peer.PeerMessage.DemandRequest;
import org.agatefield.peer.PeerMessage.DemandScope;
import org.agatefield.peer.PeerTransport;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Demand goes from each instance to the aggregators of its failure domain; an aggregator of the
 * region adds up the failure domains when it is asked; whoever wants the total asks one aggregator
 * in each region.
 *
 * <p>Aggregators are the first two instances by rendezvous hash, so that one may fail. Invariant:
 * an instance gets reports from its own failure domain alone, and between regions go sums only.
 * Confined to the event loop, except {@link #total}.
 */
final class DemandAggregation {
  static final long INTERVAL_MILLISECONDS = 5_000;
  private static final long RETENTION_MILLISECONDS = 3 * INTERVAL_MILLISECONDS;
  private static final long REGION_RETENTION_MILLISECONDS = 300_000;
  private static final long REFRESH_AFTER_READ_MILLISECONDS = 60_000;
  private static final int AGGREGATORS = 2;

  private final Instance self;
  private final EventLoop loop;
  private final PeerTransport transport;
  private final DemandSource source;
  private final Supplier<List<Instance>> instances;
  private final UniformRandomProvider random;
  private final LongSupplier clock;
  private final FailureDomainDemand domain = new FailureDomainDemand(RETENTION_MILLISECONDS);
  private final Map<String, RegionSum> regions = new HashMap<>();
  private CompletableFuture<PeerMessage> regionReport;
  private long regionReportTime;
  private volatile List<DemandSample> total = List.of();
  private volatile long lastReadTime = Long.MIN_VALUE / 2;

  private record RegionSum(DemandReport report, long time) {}

  DemandAggregation(
      Instance self,
      EventLoop loop,
      PeerTransport transport,
      DemandSource source,
      Supplier<List<Instance>> instances,
      UniformRandomProvider random,
      LongSupplier clock) {
    this.self = self;
    this.loop = loop;
    this.transport = transport;
    this.source = source;
    this.instances = instances;
    this.random = random;
    this.clock = clock;
  }

  void start() {
    schedule(this::report);
    schedule(this::refreshIfRecentlyRead);
  }

  private void schedule(Runnable task) {
    long delay = INTERVAL_MILLISECONDS / 2 + random.nextLong(INTERVAL_MILLISECONDS);
    loop.schedule(
        () -> {
          schedule(task);
          task.run();
        },
        delay,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the total as it last came; asks for a newer one in the background. */
  List<DemandSample> total() {
    long now = clock.getAsLong();
    boolean first = now - lastReadTime > REFRESH_AFTER_READ_MILLISECONDS;
    lastReadTime = now;
    if (first) {
      loop.execute(this::refreshTotal);
    }
    return total;
  }

  /** Takes a report of an instance of this failure domain. */
  void received(DemandReport report) {
    domain.received(report, clock.getAsLong());
  }

  /** Answers with the sum for this failure domain or region. */
  CompletableFuture<PeerMessage> answer(DemandRequest request) {
    return switch (request.scope()) {
      case FAILURE_DOMAIN -> CompletableFuture.completedFuture(domainReport());
      case REGION -> regionReport();
    };
  }

  private void report() {
    List<DemandSample> samples = source.localDemand();
    DemandReport report = new DemandReport(self.id(), samples, 0, 1);
    for (Instance aggregator : aggregators(inDomain(self.failureDomain()), "demand-domain")) {
      if (aggregator.id().equals(self.id())) {
        received(report);
      } else {
        transport.send(aggregator.peerAddress(), report);
      }
    }
  }

  private DemandReport domainReport() {
    return DemandSum.report(self.id(), domain.fresh(clock.getAsLong()));
  }

  private CompletableFuture<PeerMessage> regionReport() {
    long now = clock.getAsLong();
    boolean usable = regionReport != null && !regionReport.isCompletedExceptionally();
    if (usable && now - regionReportTime < INTERVAL_MILLISECONDS / 2) {
      return regionReport;
    }
    regionReportTime = now;
    List<CompletableFuture<DemandReport>> parts = new ArrayList<>();
    instances.get().stream()
        .map(Instance::failureDomain)
        .filter(each -> each.region().equals(self.failureDomain().region()))
        .collect(Collectors.toSet())
        .forEach(each -> parts.add(domainReportOf(each)));
    regionReport =
        CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
            .thenApply(
                done ->
                    DemandSum.report(
                        self.id(), parts.stream().map(CompletableFuture::join).toList()));
    return regionReport;
  }

  private CompletableFuture<DemandReport> domainReportOf(FailureDomain failureDomain) {
    List<Instance> members = inDomain(failureDomain);
    List<Instance> aggregators = aggregators(members, "demand-domain");
    return query(aggregators, 0, DemandScope.FAILURE_DOMAIN, members.size(), emptyReport());
  }

  private DemandReport emptyReport() {
    return new DemandReport(self.id(), List.of(), 0, 0);
  }

  /** Asks one aggregator after the other until one covers most of the members; keeps the best. */
  private CompletableFuture<DemandReport> query(
      List<Instance> aggregators,
      int next,
      DemandScope scope,
      int members,
      DemandReport mostComplete) {
    if (next >= aggregators.size() || 2 * mostComplete.instances() > members) {
      return CompletableFuture.completedFuture(mostComplete);
    }
    return queryOne(aggregators.get(next), scope)
        .handleAsync(
            (report, failure) ->
                failure == null ? moreComplete(report, mostComplete) : mostComplete,
            loop)
        .thenCompose(moreComplete -> query(aggregators, next + 1, scope, members, moreComplete));
  }

  private CompletableFuture<PeerMessage> queryOne(Instance aggregator, DemandScope scope) {
    DemandRequest request = new DemandRequest(scope);
    return aggregator.id().equals(self.id())
        ? answer(request)
        : transport.request(aggregator.peerAddress(), request);
  }

  private static DemandReport moreComplete(PeerMessage answer, DemandReport mostComplete) {
    return answer instanceof DemandReport report && report.instances() > mostComplete.instances()
        ? report
        : mostComplete;
  }

  private void refreshIfRecentlyRead() {
    if (clock.getAsLong() - lastReadTime <= REFRESH_AFTER_READ_MILLISECONDS) {
      refreshTotal();
    }
  }

  private void refreshTotal() {
    Map<String, List<Instance>> byRegion =
        instances.get().stream()
            .collect(Collectors.groupingBy(each -> each.failureDomain().region()));
    byRegion.forEach(
        (region, members) ->
            query(
                    aggregators(members, "demand-region"),
                    0,
                    DemandScope.REGION,
                    members.size(),
                    emptyReport())
                .thenAcceptAsync(report -> regionReportReceived(region, report), loop));
  }

  private void regionReportReceived(String region, DemandReport report) {
    long now = clock.getAsLong();
    if (report.instances() > 0) {
      regions.put(region, new RegionSum(report, now));
    }
    regions.values().removeIf(sum -> now - sum.time > REGION_RETENTION_MILLISECONDS);
    total = DemandSum.of(regions.values().stream().map(RegionSum::report).toList());
  }

  private List<Instance> inDomain(FailureDomain failureDomain) {
    return instances.get().stream()
        .filter(instance -> instance.failureDomain().equals(failureDomain))
        .toList();
  }

  private static List<Instance> aggregators(List<Instance> members, String purpose) {
    return RendezvousHash.first(members, purpose, AGGREGATORS);
  }
}
