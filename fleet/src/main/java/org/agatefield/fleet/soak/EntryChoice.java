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
 * Asks instances which entries to use and keeps the answer for its time to live, as callers do. For
 * use by one thread.
 */
final class EntryChoice {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private List<Address> known = List.of();
  private long validUntilNanoseconds = Long.MIN_VALUE;

  EntryChoice(LocalFleet fleet, UniformRandomProvider random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Returns an entry that an instance named, or any instance if none answers. */
  Address next() {
    if (known.isEmpty() || System.nanoTime() > validUntilNanoseconds) {
      ask();
    }
    if (known.isEmpty()) {
      return anyDaemon();
    }
    return known.get(random.nextInt(known.size()));
  }

  /** Asks again before the next use, since an entry could not be reached. */
  void forget() {
    known = List.of();
  }

  Address anyDaemon() {
    var entries = fleet.plan().instances();
    return fleet.address(entries.get(random.nextInt(entries.size())).name());
  }

  private void ask() {
    try {
      FleetHttp.Answer answer =
          FleetHttp.await(fleet.http().get(anyDaemon(), "/v1/entries"), CALL_LIMIT);
      JsonNode body = MAPPER.readTree(answer.text());
      List<Address> addresses = new ArrayList<>();
      body.path("addresses").forEach(each -> addresses.add(Address.parse(each.asText())));
      known = addresses;
      long seconds = body.path("timeToLiveSeconds").asLong();
      validUntilNanoseconds = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    } catch (FleetException | JsonProcessingException exception) {
      known = List.of();
    }
  }
}
