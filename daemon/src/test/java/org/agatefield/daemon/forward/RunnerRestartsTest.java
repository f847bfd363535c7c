package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Address;
import org.junit.jupiter.api.Test;

class RunnerRestartsTest {
  private static final long NOW = 1_000_000;
  private static final long TIME_OF_DAY = 1_700_000_000_000L;
  private static final long TOLERANCE = 3_000; // The time of day may jump by seconds.

  private final RunnerRestarts restarts = new RunnerRestarts();

  private static RunnerEntry bornBefore(long milliseconds) {
    return new RunnerEntry(
        "r",
        TIME_OF_DAY - milliseconds,
        OptionalLong.of(1),
        "service",
        new Address("10.0.0.1", 80),
        "domain",
        6,
        false,
        OptionalLong.empty(),
        Optional.empty(),
        Set.of(),
        Set.of());
  }

  /** Guards against a late order to a process that this instance has not seen (review/13). */
  @Test
  void youngRunnerOfTheFirstListMayHaveRestarted() {
    restarts.firstSeen(bornBefore(5_000), NOW, TIME_OF_DAY);
    assertEquals(OptionalLong.of(NOW - 5_000 + TOLERANCE), restarts.of("r"));
  }

  @Test
  void runnerThatOutlastedAllOrdersToEarlierProcessesCountsAsNeverRestarted() {
    long delay = OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS;
    restarts.firstSeen(bornBefore(delay + TOLERANCE + 1), NOW, TIME_OF_DAY);
    assertEquals(OptionalLong.empty(), restarts.of("r"));
  }

  @Test
  void runnerBornInTheFutureOfThisClockMayHaveRestartedJustNow() {
    restarts.firstSeen(bornBefore(-2_000), NOW, TIME_OF_DAY);
    assertEquals(OptionalLong.of(NOW), restarts.of("r"));
  }

  @Test
  void runnerThatIsAddedLongAfterTheFirstListHasNotRestarted() {
    restarts.watchBegan(NOW - OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS - 1);
    restarts.watchBegan(NOW);
    restarts.firstSeen(bornBefore(0), NOW, TIME_OF_DAY);
    assertEquals(OptionalLong.empty(), restarts.of("r"));
  }

  @Test
  void runnerThatIsAddedSoonAfterTheFirstListMayHaveRestarted() {
    restarts.watchBegan(NOW - 1_000);
    restarts.firstSeen(bornBefore(0), NOW, TIME_OF_DAY);
    assertEquals(OptionalLong.of(NOW), restarts.of("r"));
  }
}
