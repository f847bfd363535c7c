package org.agatefield.configuration.check;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.configuration.ConfigurationChange;

/** Describes the changes of a document and what they do. Stateless. */
final class DocumentChanges {
  private DocumentChanges() {}

  static CheckChange describe(ConfigurationChange change) {
    List<String> details = new ArrayList<>();
    if (!change.before().isEmpty()) {
      details.add("before: " + change.before());
    }
    if (!change.after().isEmpty()) {
      details.add("after: " + change.after());
    }
    return new CheckChange(change.kind(), change.path(), details, effects(change));
  }

  private static List<String> effects(ConfigurationChange change) {
    String list = change.path().replaceFirst("/.*", "");
    return switch (change.kind()) {
      case REMOVED -> List.of(effectOfRemoval(list));
      case ADDED -> List.of(effectOfAddition(list));
      case REPLACED -> List.of();
    };
  }

  private static String effectOfRemoval(String list) {
    return switch (list) {
      case "deployments", "adapters" -> "requests for this model are refused";
      case "callers" -> "requests with this token are refused";
      case "services" -> "calls of this service are refused";
      default -> "nothing is sent to this upstream";
    };
  }

  private static String effectOfAddition(String list) {
    return switch (list) {
      case "deployments", "adapters" -> "requests may name this model";
      case "callers" -> "requests with this token are accepted";
      case "services" -> "calls of this service are accepted";
      default -> "requests are sent to this upstream";
    };
  }
}
