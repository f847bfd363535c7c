package org.agatefield.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a daemon with a heap of 64 MB survives clients that it does not control. */
class CrowdProcessTest {
  private static final int CLIENTS = 240;
  private static final int MEBIBYTE = 1_048_576;
  // Heap, direct memory of the same size, and what the virtual machine needs beside them.
  private static final long MAXIMUM_RESIDENT_BYTES = (64L + 64L + 160L) * MEBIBYTE;
  private static final String HEAD = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n";
  private static final String SHORT_LINES = "a:b\r\n".repeat(3_200);

  @TempDir Path directory;

  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Length: 2\r\n\r\nx"})
  void crowdOfHeadsInShortLinesIsBounded(String end) {
    assertSurvives(HEAD + SHORT_LINES + end);
  }

  @Test
  void crowdOfUnfinishedBodiesIsBounded() {
    int length = 4 * MEBIBYTE;
    String body = "x".repeat(length - 8);
    assertSurvives(HEAD + "Content-Length: " + length + "\r\n\r\n" + body);
  }

  private void assertSurvives(String sent) {
    try (LocalFleet fleet =
            new LocalFleet(FleetPlans.latency(), directory)
                .withDaemonOptions("entry-1", List.of("-Xmx64m"));
        Closer crowd = new Closer()) {
      fleet.startAll();
      byte[] bytes = sent.getBytes(StandardCharsets.US_ASCII);
      for (int number = 0; number < CLIENTS; number++) {
        join(fleet.address("entry-1"), bytes, crowd);
      }
      ManagedProcess entry = fleet.process("entry-1");
      assertTrue(entry.isAlive(), entry.logTail());
      assertEquals(200, fleet.complete("entry-1", "summaries", "beside the crowd").status());
      assertTrue(entry.isAlive(), entry.logTail());
      assertTrue(peakResidentBytes(entry.identifier()) < MAXIMUM_RESIDENT_BYTES);
    }
  }

  /** Sends all on a connection of its own and leaves it open. */
  private static void join(Address address, byte[] bytes, Closer crowd) {
    try {
      Socket socket = crowd.register(new Socket(address.host(), address.port()));
      socket.getOutputStream().write(bytes);
    } catch (IOException refused) {
      // The daemon may refuse a client and close its connection at any point.
    }
  }

  private static long peakResidentBytes(long process) {
    try {
      return Files.readAllLines(Path.of("/proc/" + process + "/status")).stream()
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1_024)
          .findFirst()
          .orElseThrow();
    } catch (IOException exception) {
      throw new FleetException("no status of process " + process, exception);
    }
  }
}
