package org.agatefield.daemon.connections;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * How much all connections may hold together. Immutable.
 *
 * @param bytes the memory, which they share with what is held of responses
 * @param connections the number of open connections
 */
public record ConnectionBounds(long bytes, int connections) {
  private static final Logger LOGGER = LogManager.getLogger(ConnectionBounds.class);
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final int USUAL_DESCRIPTORS = 4_096;
  private static final int SIXTEENTHS = 16;
  private static final int HEAP_SIXTEENTHS = 9;
  private static final int DIRECT_HALVES = 3;
  private static final int DESCRIPTORS_DIVISOR = 2;

  /**
   * Returns the bounds that follow from the memory and the descriptors of this process.
   *
   * @param descriptors how many it may open; as the system says if empty
   */
  public static ConnectionBounds ofProcess(OptionalInt descriptors) {
    return of(
        Runtime.getRuntime().maxMemory(),
        PlatformDependent.maxDirectMemory(),
        descriptors.orElseGet(ConnectionBounds::systemDescriptors));
  }

  /**
   * Returns the bounds that leave room for the process itself, and descriptors for runners, the
   * store, other instances and files.
   *
   * <p>What is held of a body on the heap takes up to half as much direct memory while it is
   * forwarded.
   */
  static ConnectionBounds of(long heapBytes, long directBytes, int descriptors) {
    return new ConnectionBounds(
        Math.min(heapBytes / SIXTEENTHS * HEAP_SIXTEENTHS, directBytes / 2 * DIRECT_HALVES),
        Math.max(1, descriptors / DESCRIPTORS_DIVISOR));
  }

  private static int systemDescriptors() {
    try {
      return Files.readAllLines(LIMITS).stream()
          .filter(line -> line.startsWith(OPEN_FILES))
          .map(line -> line.substring(OPEN_FILES.length()).strip().split("\\s+")[0])
          .filter(word -> word.chars().allMatch(Character::isDigit))
          .mapToInt(word -> (int) Math.min(Integer.MAX_VALUE, Long.parseLong(word)))
          .findFirst()
          .orElse(USUAL_DESCRIPTORS);
    } catch (IOException exception) {
      LOGGER.info("descriptors={} since {} cannot be read", USUAL_DESCRIPTORS, LIMITS, exception);
      return USUAL_DESCRIPTORS;
    }
  }
}
