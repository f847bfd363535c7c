package org.agatefield.daemon.forward;

/**
 * Bounds the bytes of answers that are not whole yet, over all calls to runners.
 *
 * <p>Answers the load of runners in trouble that send without end: their answers are given up
 * before they take the memory of the others, while answers of the usual size always find room.
 * Confined to one event loop.
 */
final class ResponseMemory {
  private static final int ANSWER_BYTES = 16 * 1_048_576; // far beyond any usual answer
  private static final long TOTAL_BYTES = 24L * 1_048_576; // a seventh of the usual heap
  private static final int USUAL_ANSWER_BYTES = 256 * 1_024;

  private long held;

  /** The bytes that one call holds. */
  final class Share {
    private int bytes;

    /** Counts the bytes that the call holds now; returns whether it may hold as many. */
    boolean hold(int holds) {
      held += holds - bytes;
      bytes = holds;
      boolean fits = held <= TOTAL_BYTES || holds <= USUAL_ANSWER_BYTES;
      return fits && holds <= ANSWER_BYTES;
    }

    /** Gives back what was counted. */
    void release() {
      held -= bytes;
      bytes = 0;
    }
  }

  /** Returns a share that holds nothing yet. */
  Share share() {
    return new Share();
  }

  /** Returns the bytes that all calls hold. */
  long heldBytes() {
    return held;
  }
}
