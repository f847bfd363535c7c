package org.agatefield.daemon.forward;

import java.util.Optional;
import org.agatefield.admission.HeldWork;

/**
 * What a request claims of the room at runners. Immutable.
 *
 * @param id a number that later requests of this instance exceed
 * @param service the service that the request is for
 * @param model the model that it needs; empty for a plain request
 * @param rank its priority; 0 is the most urgent
 * @param caller the name of its client account; the same for all requests without one
 * @param weight the weight of the account
 * @param cost the tokens that it has runners read and write, at least 1
 * @param objectiveAt when it has to begin to meet its objective, in monotonic milliseconds
 * @param dueAt when its caller stops waiting, in monotonic milliseconds
 * @param returned whether its caller was refused before and has come back
 */
record RoomClaim(
    long id,
    String service,
    Optional<String> model,
    int rank,
    String caller,
    int weight,
    double cost,
    long objectiveAt,
    long dueAt,
    boolean returned)
    implements HeldWork {
  /** Returns what requests share their runners by. */
  String target() {
    return service + model.map(each -> "/" + each).orElse("");
  }

  /** Returns whether runners are chosen by how much room they have for the request. */
  boolean needsRoom() {
    return model.isPresent();
  }
}
