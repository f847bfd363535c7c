package org.agatefield.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.agatefield.model.Address;

/**
 * Reads the keys of one table of a settings file and collects its faults.
 *
 * <p>Invariant: a reading method that finds a fault adds it to the shared list and returns a
 * placeholder, so that one pass finds all faults. For use by one thread.
 */
final class SettingsTable {
  private static final Pattern IP_ADDRESS =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+]):\\d{1,5}");
  private static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);
  private static final Path PLACEHOLDER_FILE = Path.of("");
  private static final String FILE_RULE = "the name of a readable PEM file";
  private static final String ADDRESS_RULE = "\"IP:port\" with an IP number and a port 1 to 65535";

  private final String file;
  private final String name;
  private final JsonNode node;
  private final TomlLineIndex lines;
  private final List<SettingsFault> faults;
  private final Set<String> knownKeys = new HashSet<>();

  SettingsTable(
      String file, String name, JsonNode root, TomlLineIndex lines, List<SettingsFault> faults) {
    this.file = file;
    this.name = name;
    this.lines = lines;
    this.faults = faults;
    JsonNode found = root.path(name);
    if (!found.isMissingNode() && !found.isObject()) {
      faults.add(new SettingsFault(file, lines.lineOf(name), name, found.toString(), "a table"));
    }
    this.node = found.isObject() ? found : MissingNode.getInstance();
  }

  boolean isPresent() {
    return !node.isMissingNode();
  }

  String text(String key, Pattern pattern, String rule) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      return addMissingFault(key, rule);
    }
    if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
      return addFault(key, value.toString(), rule);
    }
    return value.textValue();
  }

  String choice(String key, List<String> allowed, String defaultValue) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isTextual() || !allowed.contains(value.textValue())) {
      addFault(key, value.toString(), "one of " + String.join(", ", allowed));
      return defaultValue;
    }
    return value.textValue();
  }

  long integer(String key, long minimum, long maximum, long defaultValue) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    boolean inRange =
        value.isIntegralNumber()
            && value.canConvertToLong()
            && value.longValue() >= minimum
            && value.longValue() <= maximum;
    if (!inRange) {
      addFault(key, value.toString(), "a whole number from " + minimum + " to " + maximum);
      return defaultValue;
    }
    return value.longValue();
  }

  double fraction(String key, double minimum, double maximum, double defaultValue) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    String rule = "a number from " + minimum + " to " + maximum;
    boolean inRange =
        value.isNumber() && value.asDouble() >= minimum && value.asDouble() <= maximum;
    if (!inRange) {
      addFault(key, value.toString(), rule);
      return defaultValue;
    }
    return value.asDouble();
  }

  /** Reads the values of all keys as text, for tables whose keys are not fixed. */
  Map<String, String> texts(Pattern pattern, String rule) {
    Map<String, String> texts = new HashMap<>();
    node.fieldNames().forEachRemaining(key -> texts.put(key, text(key, pattern, rule)));
    return texts;
  }

  Duration milliseconds(String key, long minimum, long maximum, long defaultValue) {
    return Duration.ofMillis(integer(key, minimum, maximum, defaultValue));
  }

  Duration seconds(String key, long minimum, long maximum, long defaultValue) {
    return Duration.ofSeconds(integer(key, minimum, maximum, defaultValue));
  }

  Address address(String key) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      addMissingFault(key, ADDRESS_RULE);
      return PLACEHOLDER_ADDRESS;
    }
    return parseAddress(key, value).orElse(PLACEHOLDER_ADDRESS);
  }

  Optional<Address> optionalAddress(String key) {
    JsonNode value = value(key);
    return value.isMissingNode() ? Optional.empty() : parseAddress(key, value);
  }

  Path readableFile(String key) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      addMissingFault(key, FILE_RULE);
      return PLACEHOLDER_FILE;
    }
    if (!value.isTextual() || !isReadable(value.textValue())) {
      addFault(key, value.toString(), FILE_RULE);
      return PLACEHOLDER_FILE;
    }
    return Path.of(value.textValue());
  }

  private static boolean isReadable(String file) {
    try {
      return Files.isReadable(Path.of(file));
    } catch (InvalidPathException exception) {
      return false;
    }
  }

  List<Address> addresses(String key) {
    JsonNode value = value(key);
    if (value.isMissingNode()) {
      return List.of();
    }
    if (!value.isArray()) {
      addFault(key, value.toString(), "a list of " + ADDRESS_RULE);
      return List.of();
    }
    List<Address> addresses = new ArrayList<>();
    for (JsonNode element : value) {
      parseAddress(key, element).ifPresent(addresses::add);
    }
    return addresses;
  }

  /** Adds a fault for every key that has not been read. */
  void rejectUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!knownKeys.contains(key)) {
                addFault(key, "an unknown key", "only " + String.join(", ", sortedKnownKeys()));
              }
            });
  }

  private List<String> sortedKnownKeys() {
    return knownKeys.stream().sorted().toList();
  }

  private JsonNode value(String key) {
    knownKeys.add(key);
    return node.path(key);
  }

  private Optional<Address> parseAddress(String key, JsonNode value) {
    boolean wellFormed = value.isTextual() && IP_ADDRESS.matcher(value.textValue()).matches();
    if (!wellFormed) {
      addFault(key, value.toString(), ADDRESS_RULE);
      return Optional.empty();
    }
    try {
      return Optional.of(Address.parse(value.textValue()));
    } catch (IllegalArgumentException exception) {
      addFault(key, value.toString(), ADDRESS_RULE);
      return Optional.empty();
    }
  }

  private String addMissingFault(String key, String rule) {
    return addFault(key, "nothing", rule);
  }

  private String addFault(String key, String found, String rule) {
    String fullKey = name + "." + key;
    faults.add(new SettingsFault(file, lines.lineOf(fullKey), fullKey, found, rule));
    return "";
  }
}
