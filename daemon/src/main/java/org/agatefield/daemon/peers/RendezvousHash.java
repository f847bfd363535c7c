package org.agatefield.daemon.peers;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.agatefield.model.Instance;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Selects instances for a purpose by rendezvous hashing: all instances make the same choice, and
 * joining or leaving instances change it as little as possible. Stateless.
 */
final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the {@code count} highest-ranked instances for {@code purpose}, highest rank first. */
  static List<Instance> first(Collection<Instance> instances, String purpose, int count) {
    return instances.stream()
        .sorted(
            Comparator.<Instance>comparingLong(instance -> score(instance, purpose))
                .thenComparing(Instance::id))
        .limit(count)
        .toList();
  }

  private static long score(Instance instance, String purpose) {
    byte[] bytes = (purpose + "/" + instance.id()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
