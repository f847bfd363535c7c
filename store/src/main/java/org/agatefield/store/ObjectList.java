package org.agatefield.store;

import java.util.List;
import java.util.stream.Stream;

/**
 * All objects of a kind at one point in time. Immutable.
 *
 * @param resourceVersion the version to start a watch from
 * @param objects the objects, in the order of their names
 */
public record ObjectList(String resourceVersion, List<StoredObject> objects) {
  /** Copies the list. */
  public ObjectList {
    objects = List.copyOf(objects);
  }

  /**
   * Returns the latest era that the versions name; {@link StoreVersion#NO_ERA} if they name none.
   */
  long era() {
    return Stream.concat(
            Stream.of(resourceVersion), objects.stream().map(StoredObject::resourceVersion))
        .mapToLong(version -> StoreVersion.parse(version).era())
        .max()
        .orElse(StoreVersion.NO_ERA);
  }

  /** Returns a list of these objects and those of the next page, with this list's version. */
  ObjectList append(ObjectList next) {
    return new ObjectList(
        resourceVersion, Stream.concat(objects.stream(), next.objects.stream()).toList());
  }
}
