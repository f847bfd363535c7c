package org.agatefield.daemon.dispatch;

import static org.agatefield.daemon.dispatch.DispatchFixture.AWAY;
import static org.agatefield.daemon.dispatch.DispatchFixture.HOME;
import static org.agatefield.daemon.dispatch.DispatchFixture.instance;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatefield.model.Address;
import org.agatefield.model.InstanceState;
import org.agatefield.routing.HomeInstances;
import org.junit.jupiter.api.Test;

class HomeEntryDirectoryTest {
  private static final Duration TIME_TO_LIVE = Duration.ofSeconds(5);

  private static HomeEntryDirectory directory(DispatchFixture fixture) {
    return new HomeEntryDirectory(fixture, new HomeInstances(10, 2), model -> 0, TIME_TO_LIVE);
  }

  @Test
  void instancesOfTheCallersRegionComeFirst() {
    try (DispatchFixture fixture = new DispatchFixture()) {
      fixture.alive.add(instance("far", 2, AWAY, InstanceState.LIVE));
      List<Address> addresses =
          directory(fixture).entriesFor(Optional.of("quotes"), Optional.of("south")).addresses();
      assertEquals(2, addresses.get(0).port());
      assertEquals(1, addresses.get(1).port());
    }
  }

  @Test
  void leavingInstanceIsNotReturned() {
    try (DispatchFixture fixture = new DispatchFixture()) {
      fixture.alive.add(instance("old", 2, HOME, InstanceState.LEAVING));
      List<Address> addresses =
          directory(fixture).entriesFor(Optional.empty(), Optional.empty()).addresses();
      assertFalse(addresses.contains(new Address("127.0.0.1", 2)));
    }
  }

  @Test
  void addressesAreNeverEmpty() {
    try (DispatchFixture fixture = new DispatchFixture()) {
      fixture.alive.clear();
      List<Address> addresses =
          directory(fixture).entriesFor(Optional.of("quotes"), Optional.empty()).addresses();
      assertEquals(List.of(new Address("127.0.0.1", 1)), addresses);
    }
  }

  @Test
  void homeInstancesOfModelAreRotated() {
    try (DispatchFixture fixture = new DispatchFixture()) {
      for (int port = 2; port <= 8; port++) {
        fixture.alive.add(instance("instance" + port, port, HOME, InstanceState.LIVE));
      }
      HomeEntryDirectory directory = directory(fixture);
      Set<Address> first = new HashSet<>();
      for (int number = 0; number < 50; number++) {
        first.add(
            directory.entriesFor(Optional.of("quotes"), Optional.of("north")).addresses().get(0));
      }
      assertEquals(2, first.size());
    }
  }
}
