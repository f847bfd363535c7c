package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RequestCoalescerTest {
  @Property(tries = 300, seed = "5004")
  void atMostOneRequestForEachKeyIsInFlight(
      @ForAll @Size(max = 200) List<@IntRange(min = -3, max = 3) Integer> steps) {
    RequestCoalescer<Integer> coalescer = new RequestCoalescer<>();
    Map<Integer, Integer> leaders = new HashMap<>();
    Map<Integer, Integer> followers = new HashMap<>();
    for (int step = 0; step < steps.size(); step++) {
      int number = Math.abs(steps.get(step));
      RequestCoalescer.Key key = new RequestCoalescer.Key("caller", "hash" + number);
      if (steps.get(step) < 0) {
        assertEquals(followers.getOrDefault(number, 0), coalescer.finish(key).size());
        leaders.remove(number);
        followers.remove(number);
      } else {
        assertEquals(Optional.ofNullable(leaders.get(number)), coalescer.join(key, step));
        boolean leads = leaders.putIfAbsent(number, step) == null;
        followers.merge(number, leads ? 0 : 1, Integer::sum);
      }
      assertEquals(leaders.size(), coalescer.size());
    }
  }
}
