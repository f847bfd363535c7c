package org.agatefield.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/**
 * Holds PEM files with a self-signed certificate for the loopback address and its private key,
 * generated with the keytool of the running JDK. Immutable.
 *
 * @param certificate file with the self-signed certificate, which also serves as the authority
 * @param key file with the private key
 */
record TlsFiles(Path certificate, Path key) {
  private static final String ALIAS = "test";
  private static final char[] PASSWORD = "test-password".toCharArray();
  private static final int PEM_LINE_LENGTH = 64;

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
        writePem(directory.resolve("certificate.pem"), "CERTIFICATE", certificate),
        writePem(directory.resolve("key.pem"), "PRIVATE KEY", key));
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
      throw new IOException("interrupted while waiting for keytool", exception);
    }
  }

  private static Path writePem(Path file, String type, byte[] content) throws IOException {
    String body = Base64.getMimeEncoder(PEM_LINE_LENGTH, new byte[] {'\n'}).encodeToString(content);
    return Files.writeString(
        file, "-----BEGIN %s-----\n%s\n-----END %s-----\n".formatted(type, body, type));
  }
}
