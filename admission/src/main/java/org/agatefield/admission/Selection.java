package org.agatefield.admission;

import java.util.List;
import java.util.Optional;

/**
 * The request that goes next. Immutable.
 *
 * @param chosen the request, no longer waiting; empty if none waits
 * @param refused requests that were found to be too late
 */
public record Selection(Optional<QueuedRequest> chosen, List<Refusal> refused) {
  /** Copies the list. */
  public Selection {
    refused = List.copyOf(refused);
  }
}
