package org.agatefield.daemon.forward;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.agatefield.daemon.forward.wire.CallerDialect.CallerLocation;
import org.agatefield.model.Address;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;

/**
 * Answers which instances a caller should use.
 *
 * <p>Instances of the caller's failure domain come alone while there are any, since bytes between
 * failure domains are slow and paid for; then those of its region; then all. Stateless.
 */
final class EntryDirectory {
  private static final int MAXIMUM_ADDRESSES = 64; // callers read no more

  private EntryDirectory() {}

  static List<Address> addressesFor(CallerLocation caller, Collection<Instance> alive) {
    List<Instance> live =
        alive.stream().filter(instance -> instance.state() == InstanceState.LIVE).toList();
    List<Address> nearest =
        addresses(
            live,
            instance ->
                instance.failureDomain().name().equals(caller.failureDomain())
                    && instance.failureDomain().region().equals(caller.region()));
    if (!nearest.isEmpty()) {
      return nearest;
    }
    List<Address> sameRegion =
        addresses(live, instance -> instance.failureDomain().region().equals(caller.region()));
    return sameRegion.isEmpty() ? addresses(live, instance -> true) : sameRegion;
  }

  private static List<Address> addresses(List<Instance> live, Predicate<Instance> wanted) {
    return live.stream()
        .filter(wanted)
        .map(Instance::callerAddress)
        .limit(MAXIMUM_ADDRESSES)
        .toList();
  }
}
