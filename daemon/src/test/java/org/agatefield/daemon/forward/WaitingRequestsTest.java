package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.agatefield.admission.HeldWorkOrder;
import org.agatefield.admission.RecentUsage;
import org.agatefield.admission.UrgencyShares;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {
  private record Task(long at, Runnable work) {}

  private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::at));
  private long now = 1_000;
  private final WaitingRequests waiting =
      new WaitingRequests(
          (delay, work) -> tasks.add(new Task(now + delay, work)),
          () -> now,
          new HeldWorkOrder(new RecentUsage((account, at) -> 0), new UrgencyShares()));
  private final List<Long> retried = new ArrayList<>();

  /** A request that waits again after each retry unless there is room for it. */
  private final class Request implements WaitingRequests.WaitingRequest {
    private final RoomClaim claim;
    private boolean hasRoom;

    Request(long id, Optional<String> model, int rank) {
      this.claim =
          new RoomClaim(id, "pool", model, rank, "", 1, 1, now + 5_000, now + 9_000, false);
      waiting.add(this);
    }

    @Override
    public RoomClaim claim() {
      return claim;
    }

    @Override
    public Optional<String> permitKey() {
      return Optional.empty();
    }

    @Override
    public boolean lacksRoom() {
      return true;
    }

    @Override
    public void retry() {
      retried.add(claim.id());
      waiting.remove(this);
      if (!hasRoom) {
        waiting.add(this);
      }
    }
  }

  private Request waiting(long id, String model, int rank) {
    return new Request(id, Optional.of(model), rank);
  }

  private void pass(long milliseconds) {
    long until = now + milliseconds;
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      Task task = tasks.poll();
      now = task.at();
      task.work().run();
    }
    now = until;
  }

  @Test
  void requestsBehindOneThatFindsNoRoomAreNotRetried() {
    waiting(1, "model", 2);
    waiting(2, "model", 0);
    waiting(3, "other", 0);
    pass(60);
    assertEquals(List.of(2L, 3L), retried.stream().sorted().toList());
  }

  @Test
  void nextInOrderIsRetriedOnceTheFirstHasRoom() {
    waiting(1, "model", 2);
    waiting(2, "model", 0).hasRoom = true;
    pass(60);
    assertEquals(List.of(2L, 1L), retried);
    assertEquals(1, waiting.size());
  }

  @Test
  void freedRoomIsUsedBeforeTheNextPeriodicRetry() {
    waiting(1, "model", 0).hasRoom = true;
    waiting.roomChanged();
    pass(20);
    assertEquals(0, waiting.size());
  }

  @Test
  void eachRequestIsRetriedNowAndThenAsItMayHaveBecomeImpossibleToServe() {
    waiting(1, "model", 2);
    waiting(2, "model", 0);
    pass(WaitingRequests.COMPLETE_RETRY_MILLISECONDS + 100);
    assertEquals(1, retried.stream().filter(each -> each == 1).count());
  }

  @Test
  void plainRequestsDoNotWaitForEachOther() {
    new Request(1, Optional.empty(), 2);
    new Request(2, Optional.empty(), 0);
    pass(60);
    assertEquals(List.of(2L, 1L), retried);
  }

  @Test
  void linePerTargetIsSeenByNewRequests() {
    Request first = waiting(1, "model", 0);
    Request other = waiting(2, "other", 0);
    waiting.remove(other);
    assertEquals(false, waiting.hasLine(first.claim()));
    assertEquals(false, waiting.hasLine(other.claim()));
    Request second = waiting(3, "model", 0);
    assertEquals(true, waiting.hasLine(second.claim()));
    assertEquals(new RoomAllocation.Place(1, 2), waiting.place(second.claim(), now));
  }
}
