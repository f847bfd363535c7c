package org.agatefield.fleet.placing;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

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
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.WeightStoreLimits;
import org.junit.jupiter.api.Test;

class PlacementControllerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  @Test
  void deployedVersionsAreLoadedAndReplacedVersionsAreUnloaded() {
    try (PlacementBench bench = new PlacementBench()) {
      List<Upstream> engines =
          List.of(bench.engine("a", "one", 10_000, true), bench.engine("b", "two", 10_000, false));
      bench.keeper.apply(document(0, engines, List.of("v1"))).join();
      bench.planner(() -> Optional.of(1L), FailPointHook.NONE);
      await().atMost(TIMEOUT).until(() -> replicas(bench).equals(Set.of("m@v1 a", "m@v1 b")));
      bench.keeper.apply(document(1, engines, List.of("v2"))).join();
      await().atMost(TIMEOUT).until(() -> replicas(bench).equals(Set.of("m@v2 a", "m@v2 b")));
      assertEquals(List.of(), bench.violations);
    }
  }

  private static Set<String> replicas(PlacementBench bench) {
    return bench.directory.replicas().stream()
        .map((Replica each) -> each.version() + " " + each.upstream())
        .collect(Collectors.toSet());
  }

  private static ConfigurationDocument document(
      long generation, List<Upstream> engines, List<String> versions) {
    List<DeploymentVersion> deployed =
        versions.stream().map(each -> new DeploymentVersion(each, 4_000, 1)).toList();
    return new ConfigurationDocument(
        generation,
        List.of(new Deployment("m", deployed, Priority.STANDARD, 2)),
        List.of(),
        List.of(),
        List.of(),
        engines,
        new WeightStoreLimits(20, 6, 50));
  }
}
