package org.agatefield.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.junit.jupiter.api.Test;

class ConfigurationDifferenceTest {
  @Test
  void documentsThatDifferInTheGenerationAloneHaveNoDifference() {
    ConfigurationDocument document = SampleDocuments.sample();
    assertTrue(ConfigurationDifference.between(document, document.withGeneration(9)).isEmpty());
  }

  @Test
  void addedRemovedAndReplacedElementsAreListedByName() {
    ConfigurationDocument before = SampleDocuments.sample();
    ConfigurationDocument after =
        new ConfigurationDocument(
            4,
            before.deployments(),
            List.of(),
            before.callers(),
            before.services(),
            List.of(
                SampleDocuments.runner("runner-a", "127.0.0.1", 7001, 30_000),
                before.upstreams().get(1),
                before.upstreams().get(2),
                SampleDocuments.runner("runner-c", "127.0.0.1", 7009, 30_000)),
            before.weightStore());
    List<String> lines =
        ConfigurationDifference.between(before, after).changes().stream()
            .map(each -> each.kind() + " " + each.path())
            .toList();
    assertEquals(
        List.of(
            "REMOVED adapters/quotes-schools",
            "REPLACED upstreams/runner-a",
            "ADDED upstreams/runner-c"),
        lines);
  }
}
