package org.agatefield.configuration.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.agatefield.configuration.ConfigurationFault;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.configuration.check.CheckFinding.Severity;
import org.agatefield.model.ConfigurationDocument;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DocumentCheckTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String SECRET = "sk-not-a-hash";
  private static final String DOCUMENT =
      """
      {
       "generation": 3,
       "deployments": [
        {"name": "quotes", "versions": [
          {"name": "v1", "memoryMegabytes": 10000},
          {"name": "v2", "memoryMegabytes": 9000, "weight": 0}]}],
       "adapters": [{"name": "schools", "deployment": "quotes", "memoryMegabytes": 500}],
       "callers": [
        {"name": "clinic",
         "tokenSha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}],
       "services": [
        {"name": "booking", "calls": [
          {"method": "POST", "pathPrefix": "/visits/open", "repeatable": true},
          {"method": "POST", "pathPrefix": "/visits", "repeatable": false}]}],
       "upstreams": [
        {"name": "runner-a", "kind": "model_runner", "address": "10.0.0.1:7001",
         "failureDomain": {"region": "kochi", "name": "a"},
         "accelerators": 1, "memoryMegabytes": 24000},
        {"name": "booking-a", "kind": "service_runner", "address": "10.0.0.2:7001",
         "failureDomain": {"region": "kochi", "name": "a"}, "service": "booking"}]
      }
      """;

  private static CheckReport check(String text) {
    return DocumentCheck.check(text.getBytes(StandardCharsets.UTF_8), Optional.empty());
  }

  private static String describe(CheckFinding finding) {
    return finding.severity() + " " + finding.line().orElse(0) + " " + finding.path();
  }

  private static List<String> describe(CheckReport report) {
    return report.findings().stream().map(DocumentCheckTest::describe).toList();
  }

  @Test
  void soundDocumentHasNoFindings() {
    assertEquals(List.of(), check(DOCUMENT).findings());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"generation\": 3|\"generation\": -3|ERROR 2 $.generation",
        "\"memoryMegabytes\": 500|\"memoryMegabytes\": \"500\""
            + "|ERROR 7 $.adapters[0].memoryMegabytes",
        "\"deployment\": \"quotes\"|\"deployment\": \"none\"|ERROR 7 $.adapters[0].deployment",
        "10.0.0.2:7001|nowhere|ERROR 19 $.upstreams[1].address",
        "10.0.0.2:7001|10.0.0.1:7001|ERROR 19 $.upstreams[1].address",
        "\"memoryMegabytes\": 24000|\"memoryMegabytes\": 9|ERROR 5 $.deployments[0].versions[0]",
        "\"memoryMegabytes\": 9000|\"memoryMegabytes\": 23501"
            + "|WARNING 6 $.deployments[0].versions[1].memoryMegabytes",
        "/visits/open|/visit|WARNING 14 $.services[0].calls[1]",
        "{\"name\": \"booking\", |{\"name\": \"idle\"}, {\"name\": \"booking\", "
            + "|WARNING 12 $.services[0].name",
      })
  void findingNamesLineAndField(String sound, String changed, String expected) {
    assertTrue(DOCUMENT.contains(sound), sound);
    assertEquals(List.of(expected), describe(check(DOCUMENT.replace(sound, changed))));
  }

  @Test
  void allErrorsOfTheFieldsAreReportedInOneRun() {
    String faulty =
        DOCUMENT
            .replace("\"generation\": 3", "\"generation\": 1.5")
            .replace("\"memoryMegabytes\": 500", "\"memoryMegabytes\": 0")
            .replace("\"POST\"", "\"post\"");
    assertEquals(4, check(faulty).findings().size(), check(faulty).toText("file"));
  }

  @Test
  void modelRunnerThatHoldsNoReplicaIsReported() {
    String runner =
        """
        "upstreams": [
        {"name": "runner-b", "kind": "model_runner", "address": "10.0.0.3:7001",
         "failureDomain": {"region": "kochi", "name": "a"}, "accelerators": 1,
         "memoryMegabytes": 9499},
        """;
    CheckReport report = check(DOCUMENT.replace("\"upstreams\": [", runner));
    assertEquals(List.of("WARNING 18 $.upstreams[0].memoryMegabytes"), describe(report));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "{",
        "{} {}",
        "{\"generation\": 1, \"generation\": 2}",
        "{\"generation\": 1e999999}",
        "{\"generation\": NaN}",
        "{\"callers\": [sk-not-a-hash]}",
        "{\"callers\": \"sk-not-a-hash\"}",
        "{\"callers\": [\"sk-not-a-hash\"]}",
        "{\"callers\": [{\"name\": \"a\", \"tokenSha256\": \"sk-not-a-hash\"}]}",
        "{\"callers\": [{\"name\": \"a\", \"tokenSha256\": [\"sk-not-a-hash\"]}]}",
      })
  void hostileTextEndsInErrorsThatQuoteNoToken(String text) {
    CheckReport report = check(text);
    assertTrue(report.hasErrors());
    String printed = report.toText("file") + report.toJson();
    assertFalse(printed.contains(SECRET) || printed.contains("sk"), printed);
  }

  @Test
  void hostileSizesEndInOneError() {
    String nested = "[".repeat(ConfigurationReader.MAXIMUM_BYTES / 2);
    String number = "{\"generation\":" + "9".repeat(1_000_000) + "}";
    String large = "{\"a\":\"" + "x".repeat(4_000_000) + "\"}";
    for (String text : List.of(nested, "{\"a\":" + nested, number, large)) {
      assertEquals(List.of("$"), check(text).findings().stream().map(CheckFinding::path).toList());
    }
    String entries = "{},".repeat(190_000) + "{}";
    assertTrue(check("{\"deployments\":[" + entries + "]}").hasErrors());
    CheckReport report = DocumentCheck.check(new byte[] {'{', (byte) 0xff}, Optional.empty());
    assertEquals("bytes that are not UTF-8", report.findings().get(0).found());
  }

  @Test
  void changesAgainstTheDocumentInForceAreListedWithTheirEffects() throws Exception {
    ConfigurationDocument inForce = ConfigurationReader.read(DOCUMENT);
    String changed =
        DOCUMENT
            .replaceFirst("\"adapters\".*\n", "")
            .replace("24000", "48000")
            .replace(": 3", ": 4");
    CheckReport report =
        DocumentCheck.check(changed.getBytes(StandardCharsets.UTF_8), Optional.of(inForce));
    assertEquals(List.of("ERROR 2 $.generation"), describe(report));
    List<CheckChange> changes = report.changes().orElseThrow();
    assertEquals(
        List.of("adapters/schools", "upstreams/runner-a"),
        changes.stream().map(CheckChange::path).toList());
    assertEquals(List.of("requests for this model are refused"), changes.get(0).effects());
    assertEquals(2, report.toJson().path("changes").size());
  }

  /** Replaces or removes one field anywhere in the document. */
  private static JsonNode mutate(int position, Optional<JsonNode> value) throws IOException {
    JsonNode root = MAPPER.readTree(DOCUMENT);
    List<JsonNode> objects = root.findParents("name");
    ObjectNode object = (ObjectNode) objects.get(position % objects.size());
    List<String> fields = new ArrayList<>();
    object.fieldNames().forEachRemaining(fields::add);
    String field = fields.get(position / objects.size() % fields.size());
    value.ifPresentOrElse(each -> object.set(field, each), () -> object.remove(field));
    return root;
  }

  @Provide
  Arbitrary<Optional<JsonNode>> values() {
    JsonNodeFactory factory = JsonNodeFactory.instance;
    return Arbitraries.of(
            factory.nullNode(),
            factory.textNode("quotes"),
            factory.textNode(""),
            factory.numberNode(-1),
            factory.numberNode(0),
            factory.numberNode(1e300),
            factory.booleanNode(true),
            factory.arrayNode(),
            factory.objectNode())
        .map(each -> (JsonNode) each)
        .optional();
  }

  @Property(tries = 500, seed = "42")
  void whatTheDaemonRefusesTheCheckNames(
      @ForAll int position, @ForAll("values") Optional<JsonNode> value) throws IOException {
    JsonNode mutated = mutate(position & Integer.MAX_VALUE, value);
    List<String> refused;
    try {
      ConfigurationReader.read(mutated);
      refused = List.of();
    } catch (ConfigurationFaultsException exception) {
      refused = exception.faults().stream().map(ConfigurationFault::path).sorted().toList();
    }
    List<String> named =
        check(mutated.toPrettyString()).findings().stream()
            .filter(each -> each.severity() == Severity.ERROR)
            .map(CheckFinding::path)
            .sorted()
            .toList();
    assertEquals(refused, named);
  }
}
