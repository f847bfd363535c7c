package org.agatefield.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.agatefield.settings.ForwardingSettings.Capacity;
import org.agatefield.settings.ForwardingSettings.Listeners;
import org.agatefield.settings.ForwardingSettings.QuotaSharing;
import org.agatefield.settings.ForwardingSettings.Quotas;
import org.agatefield.settings.ForwardingSettings.Terms;

/**
 * Reads and validates the settings of a forwarding daemon in TOML.
 *
 * <p>Reports all faults at once. Safe for use by any thread.
 */
public final class ForwardingSettingsReader {
  private static final Set<String> TABLES =
      Set.of(
          "instance",
          "listen",
          "store",
          "membership",
          "failure_domains",
          "terms",
          "quotas",
          "capacity",
          "limits",
          "log");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._-]{0,126})");
  private static final String HOLDERS = "holders";
  private static final String EQUAL_PARTS = "equal_parts";
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final String NAME_RULE = "1 to 127 letters, digits, dots, hyphens, underscores";

  /**
   * Reads settings.
   *
   * @param file the file name to report in faults
   * @param text the TOML text
   * @throws SettingsException with every fault
   */
  public ForwardingSettings read(String file, String text) throws SettingsException {
    JsonNode root = SettingsReader.parse(file, text);
    TomlLineIndex lines = new TomlLineIndex(text);
    List<SettingsFault> faults = new ArrayList<>();
    SettingsTable instance = new SettingsTable(file, "instance", root, lines, faults);
    final String name = instance.text("name", NAME, NAME_RULE);
    final FailureDomain failureDomain =
        new FailureDomain(
            instance.text("region", NAME, NAME_RULE),
            instance.text("failure_domain", NAME, NAME_RULE));
    instance.rejectUnknownKeys();
    final Listeners listeners =
        readListeners(new SettingsTable(file, "listen", root, lines, faults));
    SettingsTable store = new SettingsTable(file, "store", root, lines, faults);
    final Address storeAddress = store.address("address");
    store.rejectUnknownKeys();
    SettingsTable membership = new SettingsTable(file, "membership", root, lines, faults);
    final List<Address> seeds = membership.addresses("seeds");
    membership.rejectUnknownKeys();
    final Map<String, String> regions =
        new SettingsTable(file, "failure_domains", root, lines, faults).texts(NAME, NAME_RULE);
    final Terms terms = readTerms(new SettingsTable(file, "terms", root, lines, faults));
    final Quotas quotas = readQuotas(new SettingsTable(file, "quotas", root, lines, faults));
    final Capacity capacity =
        readCapacity(new SettingsTable(file, "capacity", root, lines, faults));
    SettingsTable limits = new SettingsTable(file, "limits", root, lines, faults);
    final int descriptors = (int) limits.integer("descriptors", 64, 100_000_000, 0);
    limits.rejectUnknownKeys();
    final DaemonSettings.Log log =
        SettingsReader.readLog(new SettingsTable(file, "log", root, lines, faults));
    SettingsReader.rejectUnknownTables(file, root, lines, faults, TABLES);
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return new ForwardingSettings(
        name,
        failureDomain,
        listeners,
        storeAddress,
        seeds,
        regions,
        terms,
        quotas,
        capacity,
        descriptors == 0 ? OptionalInt.empty() : OptionalInt.of(descriptors),
        log);
  }

  private static Listeners readListeners(SettingsTable table) {
    Listeners listeners =
        new Listeners(
            table.address("callers"),
            table.address("readiness"),
            table.address("directory"),
            table.address("peers"),
            table.optionalAddress("metrics"));
    table.rejectUnknownKeys();
    return listeners;
  }

  private static Terms readTerms(SettingsTable table) {
    Terms terms =
        new Terms(
            milliseconds(table.fraction("drain_milliseconds", 100, 600_000, 3_000)),
            seconds(table.fraction("grace_seconds", 1, 3_600, 8)),
            milliseconds(table.fraction("configuration_apply_milliseconds", 100, 600_000, 3_000)),
            table.fraction("retry_share", 0, 1, 0.2),
            table.fraction("retry_reserve", 0, 1_000_000, 50),
            seconds(table.fraction("retry_window_seconds", 1, 3_600, 10)),
            seconds(table.fraction("answer_time_to_live_seconds", 1, 3_600, 2)));
    table.rejectUnknownKeys();
    return terms;
  }

  private static Quotas readQuotas(SettingsTable table) {
    Quotas quotas =
        new Quotas(
            seconds(table.fraction("window_seconds", 1, 3_600, 8)),
            table.fraction("overage", 0, 10, 0),
            table.fraction("slack", 0, 1_000_000_000, 0),
            table.choice("sharing", List.of(HOLDERS, EQUAL_PARTS), HOLDERS).equals(HOLDERS)
                ? QuotaSharing.HOLDERS
                : QuotaSharing.EQUAL_PARTS);
    table.rejectUnknownKeys();
    return quotas;
  }

  private static Capacity readCapacity(SettingsTable table) {
    Capacity capacity =
        new Capacity(
            table.fraction("processor_share", 0.01, 1_024, Capacity.ORDINARY.processorShare()),
            table.fraction("processor_speed", 0.01, 1_024, Capacity.ORDINARY.processorSpeed()));
    table.rejectUnknownKeys();
    return capacity;
  }

  private static Duration seconds(double value) {
    return milliseconds(value * MILLISECONDS_PER_SECOND);
  }

  private static Duration milliseconds(double value) {
    return Duration.ofMillis(Math.round(value));
  }
}
