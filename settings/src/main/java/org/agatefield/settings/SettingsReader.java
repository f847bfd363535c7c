package org.agatefield.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;
import org.agatefield.model.FailureDomain;
import org.agatefield.settings.DaemonSettings.Limits;
import org.agatefield.settings.DaemonSettings.Listeners;
import org.agatefield.settings.DaemonSettings.Log;
import org.agatefield.settings.DaemonSettings.LogFormat;
import org.agatefield.settings.DaemonSettings.Platform;
import org.agatefield.settings.DaemonSettings.Tls;

/**
 * Reads and validates the settings of a daemon in TOML.
 *
 * <p>Reports all faults at once. Safe for use by any thread.
 */
public final class SettingsReader {
  private static final Set<String> TABLES =
      Set.of("instance", "listen", "platform", "membership", "limits", "operators", "tls", "log");
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
  private static final String NAME_RULE = "1 to 63 lower-case letters, digits and inner hyphens";
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String SHA256_RULE = "a SHA-256 as 64 lower-case hexadecimal digits";
  private static final long MEBIBYTE = 1_048_576;
  private static final long DAY_SECONDS = 86_400;

  private static final TomlMapper MAPPER = new TomlMapper();

  /**
   * Reads settings.
   *
   * @param file the file name to report in faults
   * @param text the TOML text
   * @throws SettingsException with every fault
   */
  public DaemonSettings read(String file, String text) throws SettingsException {
    JsonNode root = parse(file, text);
    TomlLineIndex lines = new TomlLineIndex(text);
    List<SettingsFault> faults = new ArrayList<>();
    DaemonSettings settings = readTables(file, root, lines, faults);
    rejectUnknownTables(file, root, lines, faults, TABLES);
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return settings;
  }

  static JsonNode parse(String file, String text) throws SettingsException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException exception) {
      OptionalInt line =
          exception.getLocation() == null
              ? OptionalInt.empty()
              : OptionalInt.of(exception.getLocation().getLineNr());
      throw new SettingsException(
          List.of(
              new SettingsFault(
                  file, line, "(syntax)", exception.getOriginalMessage(), "a TOML document")));
    }
  }

  private DaemonSettings readTables(
      String file, JsonNode root, TomlLineIndex lines, List<SettingsFault> faults) {
    SettingsTable instance = new SettingsTable(file, "instance", root, lines, faults);
    final String name = instance.text("name", NAME, NAME_RULE);
    final FailureDomain failureDomain =
        new FailureDomain(
            instance.text("region", NAME, NAME_RULE),
            instance.text("failure_domain", NAME, NAME_RULE));
    instance.rejectUnknownKeys();
    SettingsTable listen = new SettingsTable(file, "listen", root, lines, faults);
    final Listeners listeners = new Listeners(listen.address("callers"), listen.address("peers"));
    listen.rejectUnknownKeys();
    final Platform platform =
        readPlatform(new SettingsTable(file, "platform", root, lines, faults));
    SettingsTable membership = new SettingsTable(file, "membership", root, lines, faults);
    final var seeds = membership.addresses("seeds");
    membership.rejectUnknownKeys();
    final Limits limits = readLimits(new SettingsTable(file, "limits", root, lines, faults));
    SettingsTable operators = new SettingsTable(file, "operators", root, lines, faults);
    final String token = operators.text("token_sha256", SHA256, SHA256_RULE);
    operators.rejectUnknownKeys();
    final Optional<Tls> tls = readTls(new SettingsTable(file, "tls", root, lines, faults));
    final Log log = readLog(new SettingsTable(file, "log", root, lines, faults));
    return new DaemonSettings(
        name, failureDomain, listeners, platform, seeds, limits, token, tls, log);
  }

  private static Platform readPlatform(SettingsTable table) {
    Platform platform =
        new Platform(
            table.address("store"),
            table.milliseconds("store_timeout_milliseconds", 50, 60_000, 2_000),
            table.seconds("poll_interval_seconds", 1, 3_600, 15));
    table.rejectUnknownKeys();
    return platform;
  }

  private static Limits readLimits(SettingsTable table) {
    Limits limits =
        new Limits(
            table.integer("body_bytes", 1_024, 64 * MEBIBYTE, 8 * MEBIBYTE),
            (int) table.integer("header_bytes", 1_024, MEBIBYTE, 16_384),
            (int) table.integer("queued_requests", 1, 100_000, 2_000),
            table.integer("queued_bytes", MEBIBYTE, 1_024 * MEBIBYTE, 32 * MEBIBYTE),
            table.milliseconds("default_deadline_milliseconds", 100, 3_600_000, 120_000),
            table.seconds("entry_time_to_live_seconds", 1, 3_600, 5),
            table.seconds("drain_timeout_seconds", 1, 3_600, 120),
            table.seconds("claim_retention_seconds", 60, 365 * DAY_SECONDS, 7 * DAY_SECONDS),
            table.seconds("order_quarantine_seconds", 1, DAY_SECONDS, 120));
    table.rejectUnknownKeys();
    return limits;
  }

  private static Optional<Tls> readTls(SettingsTable table) {
    if (!table.isPresent()) {
      return Optional.empty();
    }
    Tls tls =
        new Tls(
            table.readableFile("certificate"),
            table.readableFile("key"),
            table.readableFile("authority"));
    table.rejectUnknownKeys();
    return Optional.of(tls);
  }

  static Log readLog(SettingsTable table) {
    String format = table.choice("format", List.of("text", "json"), "text");
    String level =
        table.choice("level", List.of("error", "warn", "info", "debug", "trace"), "info");
    table.rejectUnknownKeys();
    return new Log(LogFormat.valueOf(format.toUpperCase(Locale.ROOT)), level);
  }

  static void rejectUnknownTables(
      String file,
      JsonNode root,
      TomlLineIndex lines,
      List<SettingsFault> faults,
      Set<String> tables) {
    root.fieldNames()
        .forEachRemaining(
            key -> {
              if (!tables.contains(key)) {
                faults.add(
                    new SettingsFault(
                        file,
                        lines.lineOf(key),
                        key,
                        "an unknown key",
                        "only the tables " + String.join(", ", tables.stream().sorted().toList())));
              }
            });
  }
}
