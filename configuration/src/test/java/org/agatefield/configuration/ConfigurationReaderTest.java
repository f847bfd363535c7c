package org.agatefield.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Priority;
import org.junit.jupiter.api.Test;

class ConfigurationReaderTest {
  @Test
  void readerReadsBackWhatTheWriterWrites() throws Exception {
    ConfigurationDocument document = SampleDocuments.sample();
    assertEquals(document, ConfigurationReader.read(ConfigurationWriter.toText(document)));
    assertEquals(document, ConfigurationReader.read(ConfigurationWriter.toTree(document)));
  }

  @Test
  void omittedFieldsGetTheirDefaults() throws Exception {
    ConfigurationDocument document =
        ConfigurationReader.read(
            """
            {"generation": 0,
             "deployments": [{"name": "m", "versions": [{"name": "v1", "memoryMegabytes": 5}]}],
             "upstreams": [{"name": "r", "kind": "model_runner", "address": "10.0.0.1:80",
               "failureDomain": {"region": "kochi", "name": "a"},
               "accelerators": 1, "memoryMegabytes": 5}]}
            """);
    assertEquals(Priority.STANDARD, document.deployments().get(0).priority());
    assertEquals(1, document.deployments().get(0).minimumReplicas());
    assertEquals(1, document.deployments().get(0).versions().get(0).weight());
    assertEquals(List.of(), document.adapters());
  }

  @Test
  void allSchemaFaultsAreReportedAtOnce() {
    ObjectNode tree = (ObjectNode) ConfigurationWriter.toTree(SampleDocuments.sample());
    tree.put("generation", -1);
    tree.put("colour", "red");
    ((ObjectNode) tree.at("/deployments/0")).remove("name");
    ((ObjectNode) tree.at("/deployments/0")).put("priority", "urgent");
    ((ObjectNode) tree.at("/callers/0")).put("tokenSha256", "XYZ");
    assertEquals(
        List.of(
            "$.callers[0].tokenSha256",
            "$.colour",
            "$.deployments[0].name",
            "$.deployments[0].priority",
            "$.generation"),
        faultPaths(tree));
  }

  @Test
  void allFaultsBetweenFieldsAreReportedAtOnce() {
    ObjectNode tree = (ObjectNode) ConfigurationWriter.toTree(SampleDocuments.sample());
    ((ObjectNode) tree.at("/adapters/0")).put("deployment", "unknown").put("name", "quotes");
    ((ObjectNode) tree.at("/deployments/0/versions/0")).put("weight", 0);
    ((ObjectNode) tree.at("/upstreams/1")).put("name", "runner-a").put("address", "host:7002");
    ((ObjectNode) tree.at("/upstreams/2")).put("service", "unknown").put("accelerators", 1);
    assertEquals(
        List.of(
            "$.adapters[0].deployment",
            "$.adapters[0].name",
            "$.deployments[0].versions",
            "$.upstreams[1].address",
            "$.upstreams[1].name",
            "$.upstreams[2]",
            "$.upstreams[2].service"),
        faultPaths(tree));
  }

  @Test
  void documentsThatDoNotFitAreRefusedWithTheCalculation() {
    ObjectNode tree = (ObjectNode) ConfigurationWriter.toTree(SampleDocuments.sample());
    ((ObjectNode) tree.at("/upstreams/1")).put("memoryMegabytes", 10_400);
    ConfigurationFaultsException failure =
        assertThrows(ConfigurationFaultsException.class, () -> ConfigurationReader.read(tree));
    assertEquals(
        new ConfigurationFault(
            "$.deployments[0].versions[0]",
            "quotes@v1 needs 10500 MB (with its adapters) on 2 different runners",
            "all resident versions need 21000 MB and the runners have 34400 MB; MB left on each"
                + " runner after packing the others: runner-a 24000, runner-b 10400"),
        failure.faults().get(0));
  }

  @Test
  void textThatIsNotJsonIsOneFault() {
    ConfigurationFaultsException failure =
        assertThrows(ConfigurationFaultsException.class, () -> ConfigurationReader.read("{,}"));
    assertEquals(1, failure.faults().size());
    assertTrue(failure.faults().get(0).rule().contains("JSON object"));
  }

  private static List<String> faultPaths(JsonNode tree) {
    ConfigurationFaultsException failure =
        assertThrows(ConfigurationFaultsException.class, () -> ConfigurationReader.read(tree));
    return failure.faults().stream().map(ConfigurationFault::path).sorted().toList();
  }
}
