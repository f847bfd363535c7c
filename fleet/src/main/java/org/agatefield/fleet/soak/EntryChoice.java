package org.agatefield.fleet.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.LocalFleet;
import org.agatefield.model.Address;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the entry for a request, as callers do: queries an instance for the list of entries and
 * caches it for its time to live. Not thread-safe.
 */
final class EntryChoice {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private List<Address> cachedEntries = List.of();
  private long validUntilNanoseconds = Long.MIN_VALUE;

  EntryChoice(LocalFleet fleet, UniformRandomProvider random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Returns a random entry of the list, or any instance if the list is unavailable. */
  Address next() {
    if (cachedEntries.isEmpty() || System.nanoTime() > validUntilNanoseconds) {
      refresh();
    }
    if (cachedEntries.isEmpty()) {
      return anyDaemon();
    }
    return cachedEntries.get(random.nextInt(cachedEntries.size()));
  }

  /** Discards the cached list, after a request to an entry failed. */
  void forget() {
    cachedEntries = List.of();
  }

  Address anyDaemon() {
    var entries = fleet.plan().instances();
    return fleet.address(entries.get(random.nextInt(entries.size())).name());
  }

  private void refresh() {
    try {
      FleetHttp.Answer answer =
          FleetHttp.await(fleet.http().get(anyDaemon(), "/v1/entries"), CALL_TIMEOUT);
      JsonNode body = MAPPER.readTree(answer.text());
      List<Address> addresses = new ArrayList<>();
      body.path("addresses").forEach(each -> addresses.add(Address.parse(each.asText())));
      cachedEntries = addresses;
      long seconds = body.path("timeToLiveSeconds").asLong();
      validUntilNanoseconds = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    } catch (FleetException | JsonProcessingException exception) {
      cachedEntries = List.of();
    }
  }
}
