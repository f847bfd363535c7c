package org.agatefield.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The state of one planner process, which may be paused between any two of its actions. */
final class SimulatedPlanner {
  /** Stages of an order. */
  enum Progress {
    /** The ledger is stored. */
    RESERVED,
    /** The lease was found valid; the order is sent without a further check. */
    CHECKED,
    /** The order is in transit. */
    SENT
  }

  /** A runner's order that is being executed; at most one at a time. */
  static final class PendingOrder {
    final PlannedOrder order;
    final long entryToken;
    final long leaseToken;
    Optional<RunnerLedger> afterwards = Optional.empty();
    Progress progress = Progress.RESERVED;
    long checkedAt;
    long sentAt;

    PendingOrder(PlannedOrder order, long entryToken, long leaseToken) {
      this.entryToken = entryToken;
      this.order = order;
      this.leaseToken = leaseToken;
    }
  }

  /** A ledger as read from the store. */
  record Copy(RunnerLedger ledger, long version) {}

  final int number;
  final Map<String, Copy> table = new HashMap<>();
  final Map<String, PendingOrder> pendingOrders = new HashMap<>();
  final Map<String, RunnerObservation> observations = new HashMap<>();
  final Map<String, Long> orderEnded = new HashMap<>();
  LedgerAges ages = new LedgerAges();
  long token;
  boolean takenOver;
  long pausedUntil;

  SimulatedPlanner(int number) {
    this.number = number;
  }

  void acquireLease(long newToken) {
    token = newToken;
    takenOver = false;
    table.clear();
    observations.clear();
    orderEnded.clear();
    ages = new LedgerAges();
  }

  Optional<RunnerObservation> evidence(String runner) {
    return Optional.ofNullable(observations.get(runner))
        .filter(
            each -> each.askedAtNanoseconds() > orderEnded.getOrDefault(runner, Long.MIN_VALUE));
  }
}
