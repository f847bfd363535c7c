package org.agatefield.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;

/**
 * Reads and validates documents in JSON, and reports all faults at once.
 *
 * <p>Validation has three steps: the JSON schema, the rules between fields, and the check that the
 * deployed versions fit into the available memory. Each step runs only if the earlier ones found no
 * fault. Stateless; safe for use by any thread.
 */
public final class ConfigurationReader {
  /** The maximum size of a document that daemons accept. */
  public static final int MAXIMUM_BYTES = 2_000_000;

  private ConfigurationReader() {}

  /**
   * Returns the document in {@code text}.
   *
   * @throws ConfigurationFaultsException with every fault, if the document is not valid
   */
  public static ConfigurationDocument read(String text) throws ConfigurationFaultsException {
    JsonNode root;
    try {
      root = DocumentMapper.MAPPER.readTree(text);
    } catch (JsonProcessingException exception) {
      throw notJson(exception.getOriginalMessage());
    }
    return read(root);
  }

  /**
   * Returns the document in a JSON tree.
   *
   * @throws ConfigurationFaultsException with every fault, if the document is not valid
   */
  public static ConfigurationDocument read(JsonNode root) throws ConfigurationFaultsException {
    ConfigurationDocument document = parse(root);
    List<ConfigurationFault> faults = new ArrayList<>(DocumentRules.check(document));
    throwIfAny(faults);
    faults.addAll(MemoryFeasibility.of(document).faults());
    throwIfAny(faults);
    return document;
  }

  /**
   * Returns the document in a JSON tree that an earlier {@link #read} accepted, without checking
   * the rules between fields and the memory again.
   *
   * @throws ConfigurationFaultsException if the tree violates the schema
   */
  public static ConfigurationDocument parse(JsonNode root) throws ConfigurationFaultsException {
    if (root == null || !root.isObject()) {
      throw notJson("not a JSON object");
    }
    throwIfAny(DocumentSchema.check(root));
    throwIfAny(addressFaults(root.path("upstreams")));
    ObjectNode filled = root.deepCopy();
    DocumentDefaults.fill(filled);
    try {
      return DocumentMapper.MAPPER.treeToValue(filled, ConfigurationDocument.class);
    } catch (JsonProcessingException | IllegalArgumentException exception) {
      throw new ConfigurationFaultsException(
          List.of(new ConfigurationFault("$", "an invalid value", exception.getMessage())));
    }
  }

  private static List<ConfigurationFault> addressFaults(JsonNode upstreams) {
    List<ConfigurationFault> faults = new ArrayList<>();
    for (int i = 0; i < upstreams.size(); i++) {
      String address = upstreams.path(i).path("address").asText();
      try {
        Address.parse(address);
      } catch (IllegalArgumentException exception) {
        faults.add(
            new ConfigurationFault(
                "$.upstreams[" + i + "].address", "'" + address + "'", "must be IP:port"));
      }
    }
    return faults;
  }

  private static ConfigurationFaultsException notJson(String reason) {
    return new ConfigurationFaultsException(
        List.of(new ConfigurationFault("$", reason, "the document must be one JSON object")));
  }

  private static void throwIfAny(List<ConfigurationFault> faults)
      throws ConfigurationFaultsException {
    if (!faults.isEmpty()) {
      throw new ConfigurationFaultsException(faults);
    }
  }
}
