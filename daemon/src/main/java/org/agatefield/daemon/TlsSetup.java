package org.agatefield.daemon;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import javax.net.ssl.SSLException;
import org.agatefield.peer.PeerTls;
import org.agatefield.settings.DaemonSettings.Tls;

/** Configures TLS for the listeners from the settings. Stateless. */
final class TlsSetup {
  private TlsSetup() {}

  /** Enables TLS for the callers' listener. */
  static void apply(Tls tls, HttpServerOptions options) {
    options
        .setSsl(true)
        .setKeyCertOptions(
            new PemKeyCertOptions()
                .addCertPath(tls.certificate().toString())
                .addKeyPath(tls.key().toString()));
  }

  /**
   * Returns the TLS contexts for connections between instances, with mutual authentication.
   *
   * @throws IllegalStateException if a certificate or key file cannot be used
   */
  static PeerTls forPeers(Tls tls) {
    try {
      SslContext server =
          SslContextBuilder.forServer(tls.certificate().toFile(), tls.key().toFile())
              .trustManager(tls.authority().toFile())
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .keyManager(tls.certificate().toFile(), tls.key().toFile())
              .trustManager(tls.authority().toFile())
              .build();
      return new PeerTls(server, client);
    } catch (SSLException | IllegalArgumentException exception) {
      throw new IllegalStateException(
          "tls: the certificate or key files cannot be used", exception);
    }
  }
}
