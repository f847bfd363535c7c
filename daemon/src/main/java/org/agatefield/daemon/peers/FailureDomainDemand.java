package org.agatefield.daemon.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.peer.PeerMessage;

/**
 * The last reports of the instances of a failure domain, as its aggregator holds them.
 *
 * <p>Invariant: one report for each instance, none older than its retention, so that nothing is
 * counted twice. Not safe for use by several threads; times are monotonic milliseconds.
 */
final class FailureDomainDemand {
  private static final int MAXIMUM_INSTANCES = 4_096;

  private final long retentionMilliseconds;
  private final Map<String, Received> reports = new HashMap<>();

  private record Received(PeerMessage.DemandReport report, long time) {}

  FailureDomainDemand(long retentionMilliseconds) {
    this.retentionMilliseconds = retentionMilliseconds;
  }

  void received(PeerMessage.DemandReport report, long now) {
    if (reports.containsKey(report.instance()) || reports.size() < MAXIMUM_INSTANCES) {
      reports.put(report.instance(), new Received(report, now));
    }
  }

  /** Returns the reports that are still fresh, each with its age. */
  List<PeerMessage.DemandReport> fresh(long now) {
    reports.values().removeIf(received -> now - received.time > retentionMilliseconds);
    List<PeerMessage.DemandReport> fresh = new ArrayList<>();
    for (Received received : reports.values()) {
      PeerMessage.DemandReport report = received.report;
      fresh.add(
          new PeerMessage.DemandReport(
              report.instance(),
              report.samples(),
              report.ageMilliseconds() + now - received.time,
              report.instances()));
    }
    return fresh;
  }
}
