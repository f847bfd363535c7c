package org.agatefield.daemon.leases;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;

/**
 * Passes what the holder of a lease knows to the next one, in the lease itself.
 *
 * <p>Written with each renewal and with the release, so that it survives the holder. Builds that do
 * not know the content ignore it. Implementations are thread-safe.
 */
public interface LeaseHandover {
  /** Passes nothing on. */
  LeaseHandover NONE =
      new LeaseHandover() {
        @Override
        public Optional<JsonNode> describe() {
          return Optional.empty();
        }

        @Override
        public void received(JsonNode content, Duration maximumAge) {}
      };

  /** Returns what a successor would have to know now; empty if there is nothing. */
  Optional<JsonNode> describe();

  /**
   * Receives what another holder has written last, which replaces what was received before.
   *
   * @param content a missing node if the holder passes nothing on
   * @param maximumAge how long ago the content was written at most
   */
  void received(JsonNode content, Duration maximumAge);
}
