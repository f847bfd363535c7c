package org.agatefield.forwarding.check;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;

/**
 * Compares two configurations by the names of their entries; of entries with the same name the last
 * counts.
 *
 * <p>Each instance compares two configurations, on one thread.
 */
public final class ForwardingDifference {
  private final ForwardingDocument before;
  private final ForwardingDocument after;
  private final FieldNames names;
  private final ChangeEffects effects;
  private final List<ForwardingChange> changes = new ArrayList<>();

  private ForwardingDifference(
      ForwardingDocument before, ForwardingDocument after, FieldNames names) {
    this.before = before;
    this.after = after;
    this.names = names;
    this.effects = new ChangeEffects(before.toTable(), after.toTable());
  }

  /** Returns the changes that turn {@code before} into {@code after}, except for the version. */
  public static List<ForwardingChange> between(
      ForwardingDocument before, ForwardingDocument after, FieldNames names) {
    ForwardingDifference difference = new ForwardingDifference(before, after, names);
    difference.compareAll();
    return List.copyOf(difference.changes);
  }

  private void compareAll() {
    compare("route", ForwardingDifference::routes, EntryFields::of, effects::ofRoute);
    compare("service", ForwardingDifference::services, EntryFields::of, effects::ofService);
    compare("model", ForwardingDifference::models, EntryFields::of, effects::ofModel);
    compare("account", ForwardingDifference::accounts, EntryFields::of, effects::ofAccount);
    compare("limits", ForwardingDifference::limits, EntryFields::of, (old, now) -> List.of());
  }

  private static Map<String, Route> routes(ForwardingDocument document) {
    Map<String, Route> routes = new LinkedHashMap<>();
    document.routes().forEach(each -> routes.put(each.value().name(), each.value()));
    return routes;
  }

  private static Map<String, ServiceDefinition> services(ForwardingDocument document) {
    Map<String, ServiceDefinition> services = new LinkedHashMap<>();
    document.services().forEach(each -> services.put(each.name(), each.service().value()));
    return services;
  }

  private static Map<String, ServedModel> models(ForwardingDocument document) {
    Map<String, ServedModel> models = new LinkedHashMap<>();
    for (LocatedService service : document.services()) {
      service
          .models()
          .forEach(each -> models.put(service.name() + "/" + each.value().name(), each.value()));
    }
    return models;
  }

  private static Map<String, ClientAccount> accounts(ForwardingDocument document) {
    Map<String, ClientAccount> accounts = new LinkedHashMap<>();
    document.accounts().forEach(each -> accounts.put(each.value().name(), each.value()));
    return accounts;
  }

  private static Map<String, IngressLimits> limits(ForwardingDocument document) {
    return Map.of("requests", document.limits().value());
  }

  private <T> void compare(
      String kind,
      Function<ForwardingDocument, Map<String, T>> entries,
      Function<T, Map<Field, String>> fields,
      BiFunction<Optional<T>, Optional<T>, List<String>> effect) {
    Map<String, T> old = entries.apply(before);
    Map<String, T> now = entries.apply(after);
    Set<String> all = new TreeSet<>(old.keySet());
    all.addAll(now.keySet());
    for (String name : all) {
      Optional<T> from = Optional.ofNullable(old.get(name));
      Optional<T> to = Optional.ofNullable(now.get(name));
      List<String> details =
          details(from.map(fields).orElse(Map.of()), to.map(fields).orElse(Map.of()));
      if (from.isEmpty() || to.isEmpty() || !details.isEmpty()) {
        changes.add(
            new ForwardingChange(
                kind(from, to), kind + "/" + name, details, effect.apply(from, to)));
      }
    }
  }

  private static ForwardingChange.Kind kind(Optional<?> from, Optional<?> to) {
    if (from.isEmpty()) {
      return ForwardingChange.Kind.ADDED;
    }
    return to.isEmpty() ? ForwardingChange.Kind.REMOVED : ForwardingChange.Kind.CHANGED;
  }

  private List<String> details(Map<Field, String> from, Map<Field, String> to) {
    if (to.isEmpty()) {
      return List.of();
    }
    Set<Field> fields = EnumSet.noneOf(Field.class);
    fields.addAll(from.keySet());
    fields.addAll(to.keySet());
    List<String> details = new ArrayList<>();
    for (Field field : fields) {
      String old = value(from, field);
      String now = value(to, field);
      if (from.isEmpty()) {
        details.add(names.name(field) + ": " + now);
      } else if (!old.equals(now)) {
        details.add(names.name(field) + ": " + old + " -> " + now);
      }
    }
    return details;
  }

  private String value(Map<Field, String> values, Field field) {
    return Optional.ofNullable(values.get(field))
        .map(value -> names.value(field, value))
        .orElse("none");
  }
}
