package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatefield.forwarding.GenerationParameters.PromptPart;
import org.junit.jupiter.api.Test;

class SharedPartsTest {
  // The most parts that fit into a head of 16,384 bytes.
  private static final int MOST_PARTS = 2_650;
  private static final long MAXIMUM_BYTES_PER_PART = 512;

  private static GenerationParameters prompt(
      String model, Optional<String> adapter, String... ids) {
    List<PromptPart> parts = new ArrayList<>();
    for (String id : ids) {
      parts.add(new PromptPart(id, 10));
    }
    return new GenerationParameters(model, adapter, ids.length * 10, 80, parts);
  }

  /** Guards against processes that prompts of many parts end by memory (review/6). */
  @Test
  void keysOfPromptTakeMemoryInProportionToItsParts() {
    String[] ids = new String[MOST_PARTS];
    for (int index = 0; index < ids.length; index++) {
      ids[index] = Integer.toHexString(index);
    }
    GenerationParameters prompt = prompt("m", Optional.empty(), ids);
    SharedParts.of(prompt);
    ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = thread.getCurrentThreadAllocatedBytes();
    SharedParts parts = SharedParts.of(prompt);
    long bytes = thread.getCurrentThreadAllocatedBytes() - before;
    assertEquals(MOST_PARTS - 1, parts.size());
    assertTrue(bytes < MOST_PARTS * MAXIMUM_BYTES_PER_PART, bytes + " bytes");
  }

  @Test
  void keyStandsForModelAdapterAndAllPartsBefore() {
    SharedParts parts = SharedParts.of(prompt("m", Optional.of("a"), "1", "2", "own"));
    SharedParts same = SharedParts.of(prompt("m", Optional.of("a"), "1", "2", "other"));
    assertEquals(parts.key(0), same.key(0));
    assertEquals(parts.key(1), same.key(1));
    Set<Object> others = new HashSet<>();
    for (GenerationParameters other :
        List.of(
            prompt("n", Optional.of("a"), "1", "2", "own"),
            prompt("m", Optional.empty(), "1", "2", "own"),
            prompt("m", Optional.of("a"), "2", "2", "own"),
            prompt("m", Optional.of("a"), "12", "2", "own"),
            prompt("ma", Optional.of(""), "1", "2", "own"))) {
      SharedParts differing = SharedParts.of(other);
      assertNotEquals(parts.key(1), differing.key(1));
      assertTrue(others.add(differing.key(0)) && others.add(differing.key(1)));
    }
  }
}
