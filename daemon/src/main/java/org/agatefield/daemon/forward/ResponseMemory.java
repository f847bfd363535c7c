package org.agatefield.daemon.forward;

/**
 * Limits the memory of incomplete responses across all calls to runners.
 *
 * <p>Faulty runners may send endless responses; these are aborted before they use the memory of
 * others, while responses of usual size fit beside them, until there are so many that they would
 * use up the memory together. Confined to one event loop.
 */
final class ResponseMemory {
  // Far larger than any usual response.
  private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1_048_576;
  private static final long MAXIMUM_TOTAL_BYTES = 24L * 1_048_576; // A seventh of the usual heap.

  private static final long MAXIMUM_TOTAL_OF_USUAL_BYTES = 2 * MAXIMUM_TOTAL_BYTES;

  /** Size up to which a response fits beside large ones. */
  static final int USUAL_RESPONSE_BYTES = 256 * 1_024;

  private long total;

  /** The bytes held by one call. */
  final class Share {
    private int bytes;

    /** Sets the bytes that the call holds; returns whether they are within the limits. */
    boolean reserve(int requiredBytes) {
      total += requiredBytes - bytes;
      bytes = requiredBytes;
      long maximumTotal =
          requiredBytes <= USUAL_RESPONSE_BYTES
              ? MAXIMUM_TOTAL_OF_USUAL_BYTES
              : MAXIMUM_TOTAL_BYTES;
      return total <= maximumTotal && requiredBytes <= MAXIMUM_RESPONSE_BYTES;
    }

    /** Releases the bytes of the call. */
    void release() {
      total -= bytes;
      bytes = 0;
    }
  }

  /** Returns a share that holds no bytes yet. */
  Share share() {
    return new Share();
  }

  /** Returns the bytes held by all calls. */
  long totalBytes() {
    return total;
  }
}
