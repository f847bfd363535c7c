package org.agatefield.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatefield.model.Adapter;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.PlainService;
import org.agatefield.model.Upstream;

/**
 * The differences between two documents, except for the generation. Immutable.
 *
 * @param fromGeneration the generation of the earlier document
 * @param toGeneration the generation of the later document
 * @param changes the differences, in the order of the document's fields
 */
public record ConfigurationDifference(
    long fromGeneration, long toGeneration, List<ConfigurationChange> changes) {
  /** Copies the list. */
  public ConfigurationDifference {
    changes = List.copyOf(changes);
  }

  /** Returns the changes that turn {@code from} into {@code to}. */
  public static ConfigurationDifference between(
      ConfigurationDocument from, ConfigurationDocument to) {
    List<ConfigurationChange> changes = new ArrayList<>();
    changes.addAll(compare("deployments", from.deployments(), to.deployments(), Deployment::name));
    changes.addAll(compare("adapters", from.adapters(), to.adapters(), Adapter::name));
    changes.addAll(compare("callers", from.callers(), to.callers(), Caller::name));
    changes.addAll(compare("services", from.services(), to.services(), PlainService::name));
    changes.addAll(compare("upstreams", from.upstreams(), to.upstreams(), Upstream::name));
    change("weightStore", from.weightStore(), to.weightStore()).ifPresent(changes::add);
    return new ConfigurationDifference(from.generation(), to.generation(), changes);
  }

  /** Returns whether the documents differ in the generation at most. */
  public boolean isEmpty() {
    return changes.isEmpty();
  }

  /** Returns the changes as text for operators, one line for each. */
  public String toText() {
    if (changes.isEmpty()) {
      return "no difference";
    }
    return changes.stream().map(ConfigurationChange::toString).collect(Collectors.joining("\n"));
  }

  private static <T> List<ConfigurationChange> compare(
      String list, List<T> from, List<T> to, Function<T, String> name) {
    Map<String, T> before = byName(from, name);
    Map<String, T> after = byName(to, name);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String each : names) {
      change(list + "/" + each, before.get(each), after.get(each)).ifPresent(changes::add);
    }
    return changes;
  }

  private static <T> Map<String, T> byName(List<T> parts, Function<T, String> name) {
    Map<String, T> result = new LinkedHashMap<>();
    parts.forEach(each -> result.put(name.apply(each), each));
    return result;
  }

  private static Optional<ConfigurationChange> change(String path, Object before, Object after) {
    if (Objects.equals(before, after)) {
      return Optional.empty();
    }
    ConfigurationChange.Kind kind = ConfigurationChange.Kind.REPLACED;
    if (before == null) {
      kind = ConfigurationChange.Kind.ADDED;
    } else if (after == null) {
      kind = ConfigurationChange.Kind.REMOVED;
    }
    return Optional.of(new ConfigurationChange(kind, path, toJson(before), toJson(after)));
  }

  private static String toJson(Object part) {
    if (part == null) {
      return "";
    }
    JsonNode tree = DocumentMapper.MAPPER.valueToTree(part);
    return tree.toString();
  }
}
