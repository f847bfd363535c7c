package org.agatefield.admission;

import java.util.List;

/**
 * The result of offering a request to a queue. Immutable.
 *
 * @param queued whether the request is now waiting
 * @param refused the offered request if it was not queued, and waiting requests that were evicted
 *     to make room
 */
public record Offer(boolean queued, List<Refusal> refused) {
  /** Copies the list. */
  public Offer {
    refused = List.copyOf(refused);
  }
}
