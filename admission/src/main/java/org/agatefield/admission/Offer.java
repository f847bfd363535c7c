package org.agatefield.admission;

import java.util.List;

/**
 * What became of a request that was offered to a queue. Immutable.
 *
 * @param queued whether the request now waits
 * @param refused requests that are refused: the offered one if it does not wait, or others that
 *     gave up their places to it
 */
public record Offer(boolean queued, List<Refusal> refused) {
  /** Copies the list. */
  public Offer {
    refused = List.copyOf(refused);
  }
}
