package org.agatefield.fleet.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatefield.daemon.leases.LeaseHandover;
import org.agatefield.daemon.leases.LeaseManager;
import org.agatefield.lease.LeaseGrant;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaseManagerTest {
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final Duration DURATION = Duration.ofSeconds(2);

  private final StoreBench bench = new StoreBench();
  private final List<LeaseManager> contenders = new ArrayList<>();

  @BeforeEach
  void startContenders() {
    for (String name : List.of("a", "b", "c")) {
      contenders.add(
          bench.closer.register(
              new LeaseManager(bench.vertx, bench.newClient(), "planner", name, DURATION)));
    }
    await().atMost(GENEROUS).until(() -> !holders().isEmpty());
  }

  @AfterEach
  void close() {
    bench.close();
  }

  private List<LeaseManager> holders() {
    return contenders.stream().filter(each -> each.currentGrant().isPresent()).toList();
  }

  private long token() {
    return holders().stream()
        .flatMap(each -> each.currentGrant().stream())
        .mapToLong(LeaseGrant::fencingToken)
        .max()
        .orElse(0);
  }

  @Test
  void oneOfThreeHoldsTheLease() {
    assertEquals(1, holders().size());
  }

  @Test
  void closedHolderIsReplacedByAnotherWithLargerToken() {
    LeaseManager first = holders().get(0);
    long token = token();
    first.close();
    assertTrue(first.currentGrant().isEmpty());
    await().atMost(GENEROUS).until(() -> token() > token);
    assertTrue(first.currentGrant().isEmpty());
  }

  @Test
  void leaseIsGrantedWithLargerTokenAfterGrantIsInvalidated() {
    LeaseManager first = holders().get(0);
    final long token = token();
    first.invalidateGrant();
    assertTrue(first.currentGrant().isEmpty());
    await().atMost(GENEROUS).until(() -> token() > token);
  }

  @Test
  void grantExpiresWhileTheStoreIsDown() {
    final long token = token();
    bench.faults("{\"down\":true}");
    await().atMost(GENEROUS).until(() -> holders().isEmpty());
    bench.faults("{}");
    await().atMost(GENEROUS).until(() -> token() > token);
  }

  @Test
  void leaseIsRenewedWhenAnswersToRenewalsAreLost() {
    bench.faults("{\"loseAnswersShare\":0.5,\"seed\":42,\"kind\":\"leases\"}");
    long updates = bench.counts().at("/calls/update/leases").asLong();
    await()
        .atMost(GENEROUS)
        .until(() -> bench.counts().at("/calls/update/leases").asLong() > updates + 6);
    await().atMost(GENEROUS).until(() -> holders().size() == 1);
  }

  private LeaseManager contender(String name, LeaseHandover handover) {
    return bench.closer.register(
        new LeaseManager(
            bench.vertx,
            bench.newClient(),
            "handed-over",
            name,
            DURATION,
            other -> false,
            () -> true,
            handover));
  }

  /** Guards against a successor that does not learn what its predecessor left (review/11). */
  @Test
  void successorReceivesWhatTheClosedHolderKnewLast() {
    AtomicInteger known = new AtomicInteger(1);
    LeaseManager first =
        contender(
            "first", handover(() -> Optional.of(IntNode.valueOf(known.get())), content -> {}));
    await().atMost(GENEROUS).until(() -> first.currentGrant().isPresent());
    List<JsonNode> received = new CopyOnWriteArrayList<>();
    final LeaseManager second = contender("second", handover(Optional::empty, received::add));
    await().atMost(GENEROUS).until(() -> received.contains(IntNode.valueOf(1)));
    known.set(2);
    first.close();
    await().atMost(GENEROUS).until(() -> second.currentGrant().isPresent());
    assertEquals(IntNode.valueOf(2), received.get(received.size() - 1));
  }

  private static LeaseHandover handover(
      Supplier<Optional<JsonNode>> described, Consumer<JsonNode> receiver) {
    return new LeaseHandover() {
      @Override
      public Optional<JsonNode> describe() {
        return described.get();
      }

      @Override
      public void received(JsonNode content, Duration maximumAge) {
        receiver.accept(content);
      }
    };
  }
}
