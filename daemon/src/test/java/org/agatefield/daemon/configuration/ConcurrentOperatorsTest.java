package org.agatefield.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.daemon.configuration.RandomOrderStore.Mechanism;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requirement REQ-CONFIGURATION: an accepted configuration is never undone. */
class ConcurrentOperatorsTest {
  private static final int SEEDS = 200;

  @Property(tries = 500, seed = "42")
  void acceptedDocumentsAreNeverRevertedAndResultsAreCorrect(@ForAll long seed) {
    assertEquals(List.of(), new ConcurrentOperatorsSimulation(seed, Set.of(), false).run());
  }

  @Test
  void simulationsAcceptDocuments() {
    int accepted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      ConcurrentOperatorsSimulation simulation =
          new ConcurrentOperatorsSimulation(seed, Set.of(), false);
      simulation.run();
      accepted += simulation.accepted();
    }
    assertTrue(accepted > 2 * SEEDS, "only accepted " + accepted);
  }

  @ParameterizedTest
  @EnumSource(Mechanism.class)
  void disablingAnyMechanismCausesViolations(Mechanism mechanism) {
    assertTrue(failures(EnumSet.of(mechanism), false) > 0, mechanism + " prevents no violation");
  }

  @Test
  void adoptingAnyGenerationCausesViolations() {
    assertTrue(failures(Set.of(), true) > 0);
  }

  private static long failures(Set<Mechanism> disabled, boolean adoptAnyGeneration) {
    return LongStream.range(0, SEEDS)
        .filter(
            seed ->
                !new ConcurrentOperatorsSimulation(seed, disabled, adoptAnyGeneration)
                    .run()
                    .isEmpty())
        .count();
  }
}
