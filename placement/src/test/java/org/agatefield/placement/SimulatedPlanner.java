package org.agatefield.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What one planner process knows; it may be paused between any two of its actions. */
final class SimulatedPlanner {
  /** How far an order has come. */
  enum Progress {
    /** The ledger is written. */
    RESERVED,
    /** The lease was found valid; nothing stands between the order and the connection. */
    CHECKED,
    /** The order is on its way. */
    SENT
  }

  /** A runner's work that is under way; one at a time. */
  static final class Work {
    final PlannedOrder order;
    final long entryToken;
    final long leaseToken;
    Optional<RunnerLedger> afterwards = Optional.empty();
    Progress progress = Progress.RESERVED;
    long checkedAt;
    long sentAt;

    Work(PlannedOrder order, long entryToken, long leaseToken) {
      this.entryToken = entryToken;
      this.order = order;
      this.leaseToken = leaseToken;
    }
  }

  /** A ledger as read from the store. */
  record Copy(RunnerLedger ledger, long version) {}

  final int number;
  final Map<String, Copy> table = new HashMap<>();
  final Map<String, Work> works = new HashMap<>();
  final Map<String, RunnerObservation> observations = new HashMap<>();
  final Map<String, Long> orderEnded = new HashMap<>();
  LedgerAges ages = new LedgerAges();
  long token;
  boolean takenOver;
  long pausedUntil;

  SimulatedPlanner(int number) {
    this.number = number;
  }

  void gain(long newToken) {
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
