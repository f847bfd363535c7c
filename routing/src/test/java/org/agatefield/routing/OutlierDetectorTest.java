package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
  private static final long SECOND = 1_000_000_000L;

  private static Candidate candidate(String name, boolean draining) {
    return new Candidate(name, "north", 0, 10, draining, true, SECOND);
  }

  @Property(tries = 300, seed = "5101")
  void versionWithHoldersAlwaysHasEligibleUpstream(
      @ForAll @IntRange(min = 1, max = 8) int holders,
      @ForAll @Size(max = 200) List<@IntRange(max = 7) Integer> failures,
      @ForAll Set<@IntRange(max = 7) Integer> draining,
      @ForAll Set<@IntRange(max = 7) Integer> tried) {
    OutlierDetector outliers = new OutlierDetector(SECOND);
    failures.forEach(number -> outliers.failed("r" + number, 0));
    List<Candidate> all =
        IntStream.range(0, holders)
            .mapToObj(number -> candidate("r" + number, draining.contains(number)))
            .toList();
    Set<String> failed = new HashSet<>();
    tried.forEach(number -> failed.add("r" + number));
    List<Candidate> eligible = new EligibleUpstreams(outliers).of(all, failed, 1);
    assertFalse(eligible.isEmpty());
    boolean allDraining = all.stream().allMatch(Candidate::draining);
    assertTrue(allDraining || eligible.stream().noneMatch(Candidate::draining));
    boolean anyUntried =
        all.stream().anyMatch(each -> each.draining() == allDraining && !hasFailed(failed, each));
    assertEquals(anyUntried, eligible.stream().noneMatch(each -> hasFailed(failed, each)));
  }

  private static boolean hasFailed(Set<String> failed, Candidate candidate) {
    return failed.contains(candidate.upstream());
  }

  @Test
  void failingUpstreamIsEjectedForWhileAndThenAdmittedAgain() {
    OutlierDetector outliers = new OutlierDetector(SECOND);
    final List<String> names = List.of("bad", "good");
    outliers.failed("bad", 0);
    outliers.failed("bad", 0);
    assertTrue(outliers.failed("bad", 0));
    assertEquals(List.of("good"), outliers.admitted(names, name -> name, 1));
    assertEquals(names, outliers.admitted(names, name -> name, 2 * SECOND));
  }

  @Test
  void upstreamThatIsMuchSlowerThanTheOthersIsEjected() {
    OutlierDetector outliers = new OutlierDetector(SECOND);
    boolean ejected = false;
    for (int sample = 0; sample < 10; sample++) {
      outliers.firstPartReceived("fast", SECOND / 10, sample);
      ejected |= outliers.firstPartReceived("slow", 2 * SECOND, sample);
    }
    for (int sample = 10; sample < 20; sample++) {
      ejected |= outliers.firstPartReceived("slow", 2 * SECOND, sample);
    }
    assertTrue(ejected);
    assertFalse(outliers.isEjected("fast", 21));
  }
}
