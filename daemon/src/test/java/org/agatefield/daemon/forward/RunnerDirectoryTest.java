package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatefield.admission.FleetSize;
import org.agatefield.cost.LearnedRates;
import org.agatefield.daemon.forward.wire.StoredObjectDialect;
import org.agatefield.forwarding.FewestRunningChooser;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerEstimates;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.RunnerState;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.StoredObject;
import org.junit.jupiter.api.Test;

class RunnerDirectoryTest {
  private final RunnerDirectory directory = new RunnerDirectory(new TextDialect());

  /**
   * Decodes the content {@code ready} or {@code draining}, optionally with the number of the entry
   * and the start time of the process; any other content is invalid.
   */
  private static final class TextDialect implements StoredObjectDialect {
    @Override
    public String configurationName() {
      return "main";
    }

    @Override
    public Optional<ForwardingTable> decodeTable(JsonNode content) {
      return Optional.empty();
    }

    @Override
    public Optional<RunnerEntry> decodeRunner(String id, JsonNode content) {
      String[] fields = content.asText().split(" ");
      String state = fields[0];
      if (!state.equals("ready") && !state.equals("draining")) {
        return Optional.empty();
      }
      return Optional.of(
          new RunnerEntry(
              id,
              fields.length < 3 ? 1 : Long.parseLong(fields[2]),
              fields.length < 2 ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(fields[1])),
              "s",
              new Address("10.0.0.1", 80),
              "d",
              6,
              state.equals("draining"),
              OptionalLong.empty(),
              Optional.of(List.of()),
              Set.of(),
              Set.of()));
    }
  }

  private static StoredObject entry(String id, String state) {
    ObjectKey key = new ObjectKey(ObjectKind.RUNNER, id);
    return new StoredObject(key, "1", List.of(), JsonNodeFactory.instance.textNode(state));
  }

  private int usable() {
    return directory.usable("s").size();
  }

  @Test
  void olderEntryDoesNotMakeDrainingRunnerReadyAgain() {
    directory.changed(entry("a", "ready 3"));
    directory.changed(entry("a", "draining 4"));
    directory.changed(entry("a", "ready 3"));
    assertEquals(0, usable());
  }

  @Test
  void runnerThatIsGoneReturnsOnlyWithNewerEntry() {
    directory.changed(entry("a", "draining 4"));
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    directory.changed(entry("a", "ready 3"));
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready 4"), 0);
    assertEquals(0, usable());
    directory.changed(entry("a", "ready 5"));
    assertEquals(1, usable());
  }

  @Test
  void runnerWhoseEntryTheStoreHasLostStaysUsableAndMayWriteTheSameEntryAgain() {
    directory.changed(entry("a", "ready 4"));
    directory.lost(new ObjectKey(ObjectKind.RUNNER, "a"));
    assertEquals(1, usable());
    directory.removeExpired(
        MonotonicClock.milliseconds() + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(0, usable());
    directory.changed(entry("a", "ready 4"));
    assertEquals(1, usable());
  }

  @Test
  void entriesWithoutNumberApplyInTheOrderInWhichTheyCome() {
    directory.changed(entry("a", "draining 4"));
    directory.changed(entry("a", "ready"));
    assertEquals(1, usable());
  }

  @Test
  void drainingRunnerReceivesNoFurtherRequests() {
    directory.changed(entry("a", "ready"));
    assertEquals(1, usable());
    directory.changed(entry("a", "draining"));
    assertEquals(0, usable());
  }

  @Test
  void entryDeletedWhileTheStoreRespondsIsRemoved() {
    directory.changed(entry("a", "ready"));
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    assertEquals(0, usable());
  }

  @Test
  void entryExpiredDuringStoreOutageRemainsUntilItCouldBeRewritten() {
    directory.changed(entry("a", "ready"));
    directory.availabilityChanged(false);
    directory.availabilityChanged(true);
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    assertEquals(1, usable());
    long returned = MonotonicClock.milliseconds();
    directory.removeExpired(returned + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(0, usable());
  }

  @Test
  void entryRewrittenInTimeIsRetained() {
    directory.changed(entry("a", "ready"));
    directory.availabilityChanged(false);
    directory.availabilityChanged(true);
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    directory.changed(entry("a", "ready"));
    directory.removeExpired(
        MonotonicClock.milliseconds() + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(1, usable());
  }

  @Test
  void runnerThatStartsToDrainAfterItsSelectionIsNotUsable() {
    RunnerSelector selector =
        new RunnerSelector(
            new FailureDomain("r", "d"),
            Map.of("d", "r"),
            directory,
            new RunnerEstimates(
                LearnedRates.unshared(),
                new RunnerLoads(LearnedRates.unshared()),
                new KnowledgeTable<>(RunnerState.KIND)),
            service -> 0,
            new ModelPresence(),
            new RunnerAvailability(notice -> {}),
            permitsWithoutLimits(),
            new FewestRunningChooser());
    directory.changed(entry("a", "ready"));
    RunnerEntry chosen = directory.entry("a").orElseThrow();
    assertTrue(selector.isUsable(chosen));
    directory.changed(entry("a", "draining"));
    assertFalse(selector.isUsable(chosen));
  }

  /** Returns permits that no runner needs. */
  private RunnerPermits permitsWithoutLimits() {
    return new RunnerPermits(
        MonotonicClock::milliseconds,
        new RunnerPermits.Fleet() {
          @Override
          public Instance self() {
            throw new UnsupportedOperationException();
          }

          @Override
          public List<Instance> answering() {
            return List.of();
          }

          @Override
          public CompletableFuture<PeerMessage> request(
              Instance instance, PeerMessage message, long limitMilliseconds) {
            throw new UnsupportedOperationException();
          }
        },
        new FleetSize(() -> 1),
        new RunnerLimits(MonotonicClock::milliseconds, notice -> {}),
        new RunnerPermits.Runners() {
          @Override
          public Optional<RunnerEntry> entry(String id) {
            return directory.entry(id);
          }

          @Override
          public Optional<String> region(RunnerEntry runner) {
            return Optional.empty();
          }
        });
  }

  @Test
  void runnerWithUnreadableEntryIsNotUsable() {
    directory.changed(entry("a", "ready"));
    directory.changed(entry("a", "resting"));
    assertEquals(0, usable());
  }

  @Test
  void peerEntryDoesNotReplaceStoreEntry() {
    directory.changed(entry("a", "draining"));
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    assertEquals(0, usable());
  }

  /** Guards against a runner that left behind a cut and stays known from a peer (review/2). */
  @Test
  void runnerKnownFromPeerThatTheStoreDoesNotListIsRemoved() {
    directory.availabilityChanged(false);
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    directory.addFromPeer("b", JsonNodeFactory.instance.textNode("ready"), 10);
    assertEquals(2, usable());
    directory.availabilityChanged(true);
    directory.changed(entry("b", "ready"));
    directory.updated(Map.of("b", entry("b", "ready")));
    long now = MonotonicClock.milliseconds();
    directory.removeExpired(now);
    assertEquals(2, usable(), "a live runner may still write its entry again");
    directory.removeExpired(now + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(1, usable());
    assertTrue(directory.entry("b").isPresent());
  }

  /** Guards against the same runner coming back from a peer that has not dropped it yet. */
  @Test
  void entriesOfPeersAreNotUsedWhileTheStoreIsInReach() {
    directory.updated(Map.of());
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    assertEquals(0, usable());
    directory.availabilityChanged(false);
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    assertEquals(1, usable());
  }

  @Test
  void runnerKnownFromPeerThatWritesItsEntryAgainStaysUsable() {
    directory.availabilityChanged(false);
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    directory.availabilityChanged(true);
    directory.updated(Map.of());
    directory.changed(entry("a", "ready"));
    directory.removeExpired(
        MonotonicClock.milliseconds() + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(1, usable());
  }

  /** Guards against a restart that is unknown as the entry had expired before it (review/4). */
  @Test
  void restartUnderTheSameIdentifierIsKnownAlsoAfterItsEntryExpired() {
    directory.changed(entry("a", "ready 4 1000"));
    assertTrue(directory.restartedAt("a").isEmpty());
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    directory.changed(entry("a", "ready 0 2000"));
    assertTrue(directory.restartedAt("a").isPresent());
  }

  /** Guards against a restart that came before this instance's first list (review/13). */
  @Test
  void runnerThatStartedShortlyBeforeTheFirstListMayHaveRestarted() {
    directory.changed(entry("a", "ready 0 " + (System.currentTimeMillis() - 1_000)));
    assertTrue(directory.restartedAt("a").isPresent());
  }

  /**
   * Guards against a runner that left soon after this instance's first list and seems to return.
   */
  @Test
  void deletionSoonAfterTheFirstListIsFinal() {
    directory.changed(entry("a", "ready 4"));
    directory.updated(Map.of("a", entry("a", "ready 4")));
    directory.deleted(new ObjectKey(ObjectKind.RUNNER, "a"));
    assertEquals(0, usable());
    directory.changed(entry("a", "ready 4"));
    assertEquals(0, usable());
  }

  @Test
  void runnerKnownFromPeerStaysForSomeTimeAfterTheFirstListThatNeverFailed() {
    directory.addFromPeer("a", JsonNodeFactory.instance.textNode("ready"), 10);
    directory.updated(Map.of());
    long now = MonotonicClock.milliseconds();
    directory.removeExpired(now);
    assertEquals(1, usable());
    directory.removeExpired(now + RunnerDirectory.RETURN_MILLISECONDS + 1);
    assertEquals(0, usable());
  }
}
