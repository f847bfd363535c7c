package org.agatefield.admission;

import java.util.List;
import java.util.Optional;

/**
 * The result of selecting the next request. Immutable.
 *
 * @param chosen the request, no longer waiting; empty if none was waiting
 * @param refused requests that can no longer meet their deadlines
 */
public record Selection(Optional<QueuedRequest> chosen, List<Refusal> refused) {
  /** Copies the list. */
  public Selection {
    refused = List.copyOf(refused);
  }
}
