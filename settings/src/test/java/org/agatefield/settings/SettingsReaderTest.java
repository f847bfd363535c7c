package org.agatefield.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.agatefield.model.Address;
import org.agatefield.model.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
  private static final String DIGEST = "0".repeat(64);
  private static final String MINIMAL =
      """
      [instance]
      name = "entry-1"
      region = "kochi"
      failure_domain = "kochi-a"
      [listen]
      callers = "127.0.0.1:8080"
      peers = "127.0.0.1:8081"
      [platform]
      store = "127.0.0.1:8001"
      [operators]
      token_sha256 = "%s"
      """
          .formatted(DIGEST);

  private final SettingsReader reader = new SettingsReader();

  @Test
  void minimalSettingsGetTheDocumentedDefaults() throws SettingsException {
    DaemonSettings settings = reader.read("a.toml", MINIMAL);
    assertEquals(new FailureDomain("kochi", "kochi-a"), settings.failureDomain());
    assertEquals(new Address("127.0.0.1", 8080), settings.listeners().callers());
    assertEquals(Duration.ofSeconds(15), settings.platform().pollInterval());
    assertEquals(DaemonSettings.LogFormat.TEXT, settings.log().format());
  }

  @Test
  void everyFaultIsReportedAtOnceWithItsLine() {
    String text =
        MINIMAL.replace("\"127.0.0.1:8080\"", "\"localhost:8080\"")
            + "[limits]\nbody_bytes = 5\ncolour = \"red\"\n[extra]\na = 1\n";
    SettingsException exception =
        assertThrows(SettingsException.class, () -> reader.read("a.toml", text));
    assertEquals(
        List.of("listen.callers", "limits.body_bytes", "limits.colour", "extra"),
        exception.faults().stream().map(SettingsFault::key).toList());
    assertEquals(
        List.of(OptionalInt.of(6), OptionalInt.of(13), OptionalInt.of(14), OptionalInt.of(15)),
        exception.faults().stream().map(SettingsFault::line).toList());
  }

  @ParameterizedTest
  @CsvSource({
    "name = \"entry-1\", name = \"Entry 1\", instance.name",
    "store = \"127.0.0.1:8001\", store = \"127.0.0.1:99999\", platform.store",
    "region = \"kochi\", region = 4, instance.region",
    "peers = \"127.0.0.1:8081\", '', listen.peers"
  })
  void invalidValueIsReportedWithItsKey(String valid, String invalid, String key) {
    SettingsException exception =
        assertThrows(
            SettingsException.class, () -> reader.read("a.toml", MINIMAL.replace(valid, invalid)));
    assertEquals(List.of(key), exception.faults().stream().map(SettingsFault::key).toList());
  }

  @Test
  void certificateFilesThatCannotBeReadAreFaults() {
    String text =
        MINIMAL + "[tls]\ncertificate = \"no-such-file\"\nkey = 4\nauthority = \"\\u0000\"\n";
    SettingsException exception =
        assertThrows(SettingsException.class, () -> reader.read("a.toml", text));
    assertEquals(
        List.of("tls.certificate", "tls.key", "tls.authority"),
        exception.faults().stream().map(SettingsFault::key).toList());
  }

  @Test
  void textThatIsNotTomlIsReportedWithItsLine() {
    SettingsException exception =
        assertThrows(SettingsException.class, () -> reader.read("a.toml", "[instance]\nname = \n"));
    assertEquals("(syntax)", exception.faults().get(0).key());
    assertEquals(OptionalInt.of(2), exception.faults().get(0).line());
  }
}
