package org.agatefield.knowledge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class KnowledgeTableTest {
  private static final long NOW = 10_000;
  private static final String RUNNER = "runner";

  private final KnowledgeTable<Long> sums = new KnowledgeTable<>(new SumKind());
  private final KnowledgeTable<RunnerState> states = new KnowledgeTable<>(RunnerState.KIND);

  /** Adds up what the sources have counted. */
  private static final class SumKind implements KnowledgeKind<Long> {
    @Override
    public Terms terms() {
      return new Terms("sum", Scope.FLEET, 1_000);
    }

    @Override
    public Observed<Long> combine(Observed<Long> first, Observed<Long> second) {
      return new Observed<>(
          first.value() + second.value(),
          Math.min(first.atMilliseconds(), second.atMilliseconds()));
    }

    @Override
    public List<Long> encode(Long value) {
      return List.of(value);
    }

    @Override
    public Optional<Long> decode(List<Long> numbers) {
      return numbers.stream().findFirst();
    }
  }

  private static RunnerState state(int running) {
    return new RunnerState(1, running, 0, 0, 100);
  }

  private Optional<Long> sum(long now) {
    return sums.known(RUNNER, now).map(Observed::value);
  }

  @Test
  void eachSourceCountsOnceHoweverOftenItReports() {
    sums.observe(RUNNER, 1L, NOW);
    sums.receive("a", RUNNER, new Observed<>(10L, NOW), NOW);
    sums.receive("a", RUNNER, new Observed<>(20L, NOW), NOW);
    assertEquals(Optional.of(21L), sum(NOW));
  }

  @Test
  void valuesStopCountingAtTheMaximumAgeOfTheirKind() {
    sums.receive("a", RUNNER, new Observed<>(10L, NOW), NOW);
    assertEquals(Optional.of(10L), sum(NOW + 1_000));
    assertEquals(Optional.empty(), sum(NOW + 1_001));
    assertTrue(sums.all(NOW + 1_001).isEmpty());
  }

  @Test
  void newestReportCountsInWhicheverOrderReportsArrive() {
    states.receive("a", RUNNER, new Observed<>(state(2), NOW - 100), NOW);
    states.receive("b", RUNNER, new Observed<>(state(1), NOW - 300), NOW);
    assertEquals(2, states.known(RUNNER, NOW).orElseThrow().value().running());
  }

  @Test
  void selectionLeavesOutWhatTheReceiverHasAndWhatItToldItself() {
    sums.observe(RUNNER, 1L, NOW);
    sums.receive("receiver", RUNNER, new Observed<>(10L, NOW), NOW);
    sums.receive("other", RUNNER, new Observed<>(100L, NOW), NOW);
    KnowledgeTable.Selection<Long> first = sums.select(Set.of("other"), 0, 10, NOW);
    assertEquals(Map.of(RUNNER, new Observed<>(101L, NOW)), first.facts());
    assertTrue(sums.select(Set.of("other"), first.revision(), 10, NOW).facts().isEmpty());
    sums.receive("other", RUNNER, new Observed<>(200L, NOW), NOW);
    assertEquals(
        Map.of(RUNNER, new Observed<>(201L, NOW)),
        sums.select(Set.of("other"), first.revision(), 10, NOW).facts());
  }

  @Test
  void sourceThatSendsTooManySubjectsTakesBoundedMemory() {
    for (int number = 0; number < 2 * KnowledgeTable.MAXIMUM_SUBJECTS; number++) {
      sums.receive("a", "subject-" + number, new Observed<>(1L, NOW), NOW);
    }
    assertEquals(KnowledgeTable.MAXIMUM_SUBJECTS, sums.all(NOW).size());
  }

  @Test
  void numbersThatAreTooFewOrOutOfRangeAreNoState() {
    assertEquals(Optional.empty(), RunnerState.KIND.decode(List.of(1L, 2L, 3L, 4L)));
    assertEquals(Optional.empty(), RunnerState.KIND.decode(List.of(1L, -2L, 3L, 4L, 5L)));
    assertEquals(
        Optional.empty(), RunnerState.KIND.decode(List.of(1L, Long.MAX_VALUE, 3L, 4L, 5L)));
    RunnerState state = new RunnerState(7, 1, 2, 3, 4);
    List<Long> withLaterNumber = new ArrayList<>(RunnerState.KIND.encode(state));
    withLaterNumber.add(99L);
    assertEquals(Optional.of(state), RunnerState.KIND.decode(withLaterNumber));
  }

  @Property(tries = 300, seed = "52001")
  void boundedSelectionsDeliverEverySubjectInTurn(
      @ForAll @Size(max = 60) List<@IntRange(max = 20) Integer> subjects,
      @ForAll @IntRange(min = 1, max = 7) int maximumFacts) {
    KnowledgeTable<Long> table = new KnowledgeTable<>(new SumKind());
    subjects.forEach(each -> table.observe("s" + each, 1L, NOW));
    Set<String> delivered = new HashSet<>();
    long revision = 0;
    for (int round = 0; round <= subjects.size(); round++) {
      KnowledgeTable.Selection<Long> selection =
          table.select(Set.of(), revision, maximumFacts, NOW);
      assertTrue(selection.facts().size() <= maximumFacts);
      delivered.addAll(selection.facts().keySet());
      revision = selection.revision();
    }
    assertEquals(table.all(NOW).keySet(), delivered);
  }
}
