package org.agatefield.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/**
 * A certificate for the loopback address and its key, as PEM files, made by the Java installation's
 * keytool. Immutable.
 *
 * @param certificate the certificate, which is its own authority
 * @param key the private key
 */
record TlsFiles(Path certificate, Path key) {
  private static final String ALIAS = "test";
  private static final char[] PASSWORD = "test-password".toCharArray();
  private static final int LINE_LENGTH = 64;

  static TlsFiles create(Path directory) throws IOException, GeneralSecurityException {
    Path store = directory.resolve("test.p12");
    runKeytool(store);
    KeyStore keyStore = KeyStore.getInstance("PKCS12");
    try (InputStream input = Files.newInputStream(store)) {
      keyStore.load(input, PASSWORD);
    }
    byte[] key = keyStore.getKey(ALIAS, PASSWORD).getEncoded();
    byte[] certificate = keyStore.getCertificate(ALIAS).getEncoded();
    return new TlsFiles(
        write(directory.resolve("certificate.pem"), "CERTIFICATE", certificate),
        write(directory.resolve("key.pem"), "PRIVATE KEY", key));
  }

  private static void runKeytool(Path store) throws IOException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-genkeypair",
                "-alias",
                ALIAS,
                "-keyalg",
                "EC",
                "-dname",
                "CN=agatefield test",
                "-ext",
                "SAN=ip:127.0.0.1",
                "-validity",
                "1000",
                "-storetype",
                "PKCS12",
                "-keystore",
                store.toString(),
                "-storepass",
                new String(PASSWORD))
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes());
    try {
      if (process.waitFor() != 0) {
        throw new IOException("keytool failed: " + output);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", exception);
    }
  }

  private static Path write(Path file, String type, byte[] content) throws IOException {
    String body = Base64.getMimeEncoder(LINE_LENGTH, new byte[] {'\n'}).encodeToString(content);
    return Files.writeString(
        file, "-----BEGIN %s-----\n%s\n-----END %s-----\n".formatted(type, body, type));
  }
}
