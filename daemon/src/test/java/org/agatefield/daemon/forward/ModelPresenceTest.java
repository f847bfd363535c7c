package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.forwarding.LoadedModel;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.model.Address;
import org.junit.jupiter.api.Test;

class ModelPresenceTest {
  private static final long LATER = 60_000; // past every confirmation

  private final ModelPresence presence = new ModelPresence();

  private static RunnerEntry entry(String... adapters) {
    return new RunnerEntry(
        "r",
        1,
        OptionalLong.empty(),
        "service",
        new Address("127.0.0.1", 1),
        "domain",
        96,
        false,
        OptionalLong.empty(),
        Optional.of(List.of(new LoadedModel("m", Set.of(adapters)))),
        Set.of(),
        Set.of());
  }

  @Test
  void adapterThatRunnerListsIsPresentWithoutConfirmation() {
    presence.entryChanged(entry("a"), 0);
    assertTrue(presence.hasAdapter("r", "m", "a", LATER));
    assertFalse(presence.hasAdapter("r", "m", "b", LATER));
    presence.entryChanged(entry(), LATER);
    assertFalse(presence.hasAdapter("r", "m", "a", LATER));
  }

  @Test
  void adapterThatRunnerSaidIsAbsentIsNotPresentUntilConfirmed() {
    presence.entryChanged(entry("a"), 0);
    presence.markAdapterMissing("r", "m", "a");
    presence.entryChanged(entry("a"), 100);
    assertFalse(presence.hasAdapter("r", "m", "a", 100));
    presence.confirmAdapter("r", "m", "a", 200);
    assertTrue(presence.hasAdapter("r", "m", "a", 300));
  }

  @Test
  void adapterThatPlannerUnloadsIsNotPresent() {
    presence.entryChanged(entry("a"), 0);
    presence.confirmAdapter("r", "m", "a", 0);
    presence.withdraw("r", "m/a", 10);
    assertFalse(presence.hasAdapter("r", "m", "a", 20));
    assertTrue(presence.hasModel(entry("a"), "m", 20));
  }
}
