import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Ordinary clients of all instances, which book visits on kept connections, and the judgement of
 * the rules Fault and LOST.
 */
final class Bookings {
  private static final int PER_INSTANCE = 10;
  // RULES.md: "more than three times", "three times in the day", "two at least".
  private static final int TOLERATED_LOSSES = 3;
  private static final int FAULTY_ENDS = 3;
  private static final int FAULTY_MACHINES = 2;

  private final Deployment deployment;
  private final List<OrdinaryClient> clients = new ArrayList<>();

  /** Starts the clients. */
  Bookings(Deployment deployment) {
    this.deployment = deployment;
    for (Entry entry : deployment.entries) {
      for (int number = 0; number < PER_INSTANCE; number++) {
        OrdinaryClient client = new OrdinaryClient(deployment, entry);
        clients.add(client);
        client.start();
      }
    }
  }

  /** Stops the clients; returns 1 if a rule was broken, 0 if not, 2 if the case couldn't run. */
  int judge() throws IOException {
    Record record = deployment.record;
    clients.forEach(OrdinaryClient::stop);
    Runner.pause(1_000);
    if (deployment.isBroken()) {
      record.say("could not run: a process was not started again");
      return 2;
    }
    boolean lost = false;
    int faulty = 0;
    int instances = deployment.entries.size();
    for (int number = 0; number < instances; number++) {
      int served = 0;
      int cut = 0;
      int other = 0;
      for (int each = 0; each < PER_INSTANCE; each++) {
        OrdinaryClient client = clients.get(number * PER_INSTANCE + each);
        served += client.served.get();
        cut += client.lostAfterRun.get();
        other += client.lostBeforeRun.get() + client.refused.get() + client.otherAnswers.get();
      }
      int ends = deployment.endedByThemselves[number];
      record.say("%s: ended by itself %d times; ordinary bookings: %d served, %d passed on from a"
          + " kept connection and cut without an answer, %d cut before they were passed on,"
          + " refused or failed", deployment.entries.get(number).name, ends, served, cut, other);
      lost |= cut > TOLERATED_LOSSES;
      faulty += ends >= FAULTY_ENDS ? 1 : 0;
    }
    boolean fault = faulty >= FAULTY_MACHINES;
    record.say("Fault %s: %d of %d processes ended by themselves three times or more",
        fault ? "broken" : "held", faulty, instances);
    record.say("LOST %s", lost ? "broken" : "held");
    return fault || lost ? 1 : 0;
  }
}
