package org.agatefield.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requirement REQ-SETTINGS: with a table {@code tls} every listener of a daemon uses TLS. */
class TlsProcessTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  @TempDir Path directory;

  @Test
  void daemonsWithCertificatesDiscoverEachOtherAndAcceptOnlyTls() throws Exception {
    TlsFiles files = TlsFiles.create(directory);
    Vertx vertx = Vertx.vertx();
    try (LocalFleet fleet = new LocalFleet(FleetPlans.quickstart(), directory)) {
      fleet.withTables(
          "[tls]\ncertificate = \"%s\"\nkey = \"%s\"\nauthority = \"%s\"\n"
              .formatted(files.certificate(), files.key(), files.certificate()));
      fleet.startPlatform();
      fleet.startDaemon("entry-1");
      fleet.startDaemon("entry-2");
      fleet.startDaemon("entry-3");
      LocalFleet.await(
          "entry-1 reports three members over TLS",
          TIMEOUT,
          () -> metrics(vertx, files, fleet).contains("agatefield_peers_members 3.0"));
      FleetException refused =
          assertThrows(
              FleetException.class,
              () -> fleet.call(HttpMethod.GET, fleet.address("entry-1"), "/healthz", Map.of(), ""));
      assertTrue(refused.getMessage().contains("no whole answer"));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get();
    }
  }

  @Test
  void daemonWithoutUsableCertificateFilesExitsWithAnErrorAboutTls() {
    try (LocalFleet fleet = new LocalFleet(FleetPlans.quickstart(), directory)) {
      fleet.withTables("[tls]\ncertificate = \"none\"\nkey = \"none\"\nauthority = \"none\"\n");
      ManagedProcess daemon = fleet.startDaemon("entry-1");
      assertEquals(3, daemon.awaitExit(TIMEOUT.toSeconds()));
      assertTrue(daemon.logText().contains("tls"), daemon.logText());
    }
  }

  private static String metrics(Vertx vertx, TlsFiles files, LocalFleet fleet) {
    Address entry = fleet.address("entry-1");
    HttpClientOptions options =
        new HttpClientOptions()
            .setSsl(true)
            .setTrustOptions(new PemTrustOptions().addCertPath(files.certificate().toString()));
    RequestOptions request =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(entry.host())
            .setPort(entry.port())
            .setURI("/metrics");
    try {
      return vertx
          .createHttpClient(options)
          .request(request)
          .compose(opened -> opened.send().compose(HttpClientResponse::body))
          .toCompletionStage()
          .toCompletableFuture()
          .get(10, TimeUnit.SECONDS)
          .toString();
    } catch (Exception exception) {
      return "";
    }
  }
}
