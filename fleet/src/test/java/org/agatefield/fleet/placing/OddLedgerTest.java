package org.agatefield.fleet.placing;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.Priority;
import org.agatefield.model.Upstream;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.store.ObjectKey;
import org.agatefield.store.ObjectKind;
import org.junit.jupiter.api.Test;

/** Tests ledgers of another writer among those of the runners. */
class OddLedgerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private static void write(PlacementBench bench, String name, JsonNode content) {
    bench.store.create(new ObjectKey(ObjectKind.LEDGER, name), "another-writer", content).join();
  }

  private static JsonNode json(String text) throws IOException {
    return new ObjectMapper().readTree(text);
  }

  private static Set<String> placed(PlacementBench bench) {
    return bench.directory.replicas().stream()
        .map(each -> each.upstream())
        .collect(Collectors.toSet());
  }

  private static ConfigurationDocument document(List<Upstream> engines) {
    return new ConfigurationDocument(
        0,
        List.of(
            new Deployment(
                "m", List.of(new DeploymentVersion("v1", 4_000, 1)), Priority.STANDARD, 2)),
        List.of(),
        List.of(),
        List.of(),
        engines,
        new WeightStoreLimits(20, 6, 50));
  }

  private static void writeOddLedgers(PlacementBench bench) throws IOException {
    write(bench, "odd-1", JsonNodeFactory.instance.textNode("bytes"));
    write(bench, "odd-2", JsonNodeFactory.instance.nullNode());
    write(bench, "odd-3", json("{\"upstream\":\"odd-3\",\"memoryMegabytes\":7e99,\"entries\":[]}"));
    write(bench, "odd-4", json("{\"upstream\":\"odd-4\",\"entries\":7}"));
  }

  @Test
  void oddLedgersWrittenWhileRunningHideNoOther() throws IOException {
    try (PlacementBench bench = new PlacementBench()) {
      writeOddLedgers(bench);
      String ledger =
          "{\"upstream\":\"sound\",\"memoryMegabytes\":1,\"plannerToken\":0,\"highestToken\":0,"
              + "\"bootIdentifier\":\"\",\"entries\":[]}";
      write(bench, "sound", json(ledger));
      await()
          .atMost(TIMEOUT)
          .until(() -> bench.directory.ledgers().keySet().equals(Set.of("sound")));
    }
  }

  @Test
  void oddLedgersOfOtherRunnersDoNotKeepThePlannerFromPlacingModels() throws IOException {
    try (PlacementBench bench = new PlacementBench()) {
      writeOddLedgers(bench);
      List<Upstream> engines =
          List.of(
              bench.engine("a", "kochi-a", 10_000, true),
              bench.engine("b", "kochi-b", 10_000, true));
      bench.keeper.apply(document(engines)).join();
      bench.planner(() -> Optional.of(1L), FailPointHook.NONE);
      await().atMost(TIMEOUT).until(() -> placed(bench).equals(Set.of("a", "b")));
      assertEquals(List.of(), bench.violations);
    }
  }
}
