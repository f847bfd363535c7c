package org.agatefield.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.agatefield.model.Address;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Instance;
import org.agatefield.model.ModelDemand;

/** A message between instances. */
public sealed interface PeerMessage {
  /**
   * A message of the membership protocol. Immutable.
   *
   * @param sender the sender's own entry
   * @param generation the highest configuration generation that the sender has
   * @param updates updates about members
   * @param leavingUpstreams upstreams that are leaving, as far as the sender knows
   * @param operation the purpose of the message
   */
  record Membership(
      MemberStatement sender,
      long generation,
      List<MemberStatement> updates,
      List<LeavingUpstream> leavingUpstreams,
      MembershipOperation operation)
      implements PeerMessage {
    /** Copies the lists. */
    public Membership {
      updates = List.copyOf(updates);
      leavingUpstreams = List.copyOf(leavingUpstreams);
    }
  }

  /**
   * Requests the configuration if it is newer. Immutable.
   *
   * @param generation the highest generation that the sender has
   */
  record ConfigurationRequest(long generation) implements PeerMessage {}

  /**
   * Answers a configuration request. Immutable as long as the array is not changed.
   *
   * @param generation the highest generation that the answering instance has
   * @param document the compressed document; empty if the requester has that generation
   */
  record ConfigurationAnswer(long generation, Optional<byte[]> document) implements PeerMessage {}

  /**
   * Reports demand to the next level of the aggregation tree. Immutable.
   *
   * @param instance the reporting instance
   * @param samples demand, summed over the instances covered
   * @param ageMilliseconds the age of the oldest sample included
   * @param instances number of instances covered
   */
  record DemandReport(
      String instance, List<DemandSample> samples, long ageMilliseconds, int instances)
      implements PeerMessage {
    /** Copies the list. */
    public DemandReport {
      samples = List.copyOf(samples);
    }
  }

  /**
   * Requests the demand of the receiver's failure domain or region. Immutable.
   *
   * @param scope the instances to sum over
   */
  record DemandRequest(DemandScope scope) implements PeerMessage {}

  /**
   * Announces the planner, to which demand is to be sent. Immutable.
   *
   * @param instance the holder of the planner's lease
   * @param fencingToken the token of its grant
   */
  record PlannerNotice(String instance, long fencingToken) implements PeerMessage {}

  /**
   * Reports the model demand of one instance to the planner. Immutable.
   *
   * @param instance the reporting instance
   * @param demands one for each requested model
   */
  record ModelDemandReport(String instance, List<ModelDemand> demands) implements PeerMessage {
    /** Copies the list. */
    public ModelDemandReport {
      demands = List.copyOf(demands);
    }
  }

  /**
   * Announces a change that the planner makes at a runner before the runner's entry shows it.
   * Immutable.
   *
   * @param runner the runner's identifier
   * @param model the model's name
   * @param change the change
   * @param expectedMilliseconds expected remaining time of the load, while it is being loaded
   */
  record ModelNotice(String runner, String model, ModelChange change, long expectedMilliseconds)
      implements PeerMessage {}

  /** Changes that the planner makes to a model at a runner. */
  enum ModelChange {
    /** The runner has loaded it. */
    LOADED,
    /** The runner is about to unload it. */
    DROPPING,
    /** The runner is loading it. */
    LOADING
  }

  /**
   * Requests that the planner have an adapter loaded. Immutable.
   *
   * @param runner the runner's identifier
   * @param model the model that the adapter belongs to
   * @param adapter the adapter's name
   */
  record AdapterRequest(String runner, String model, String adapter) implements PeerMessage {}

  /**
   * Answers an adapter request. Immutable.
   *
   * @param present whether the adapter is now loaded at the runner
   */
  record AdapterAnswer(boolean present) implements PeerMessage {}

  /**
   * Reports the load that one instance places on runners. Immutable.
   *
   * @param instance the reporting instance
   * @param loads one for each runner with requests of this instance
   */
  record RunnerLoadReport(String instance, List<RunnerShare> loads) implements PeerMessage {
    /** Copies the list. */
    public RunnerLoadReport {
      loads = List.copyOf(loads);
    }
  }

  /**
   * The load of one instance at one runner. Immutable.
   *
   * @param runner the runner's identifier
   * @param running requests that were sent and have not ended
   * @param unreadPromptTokens prompt tokens of the requests that have not returned a first event
   */
  record RunnerShare(String runner, int running, int unreadPromptTokens) {}

  /**
   * A message that the receiver forwards to the other instances of its failure domain.
   *
   * @param message a message that expects no answer
   */
  record Relayed(PeerMessage message) implements PeerMessage {}

  /**
   * Requests the objects of a kind from an instance that watches the store.
   *
   * @param fromVersion the version of the previous answer; empty to request all objects
   * @param waitMilliseconds maximum time to wait for a change
   */
  record ObjectsRequest(String kind, String fromVersion, int waitMilliseconds)
      implements PeerMessage {}

  /**
   * Answers an objects request with the objects or changes that the answering instance knows.
   *
   * @param version the version to continue from
   * @param whole whether these are all objects; otherwise they are changes, in order
   */
  record ObjectsAnswer(String version, boolean whole, List<ObjectState> objects)
      implements PeerMessage {
    /** Copies the list. */
    public ObjectsAnswer {
      objects = List.copyOf(objects);
    }
  }

  /**
   * One object, possibly deleted. Immutable as long as {@code content} is not changed.
   *
   * @param resourceVersion the store's version of the object
   * @param content compressed JSON; empty if the object was deleted
   */
  record ObjectState(String name, String resourceVersion, Optional<byte[]> content) {}

  /**
   * Requests tokens from the holder of a client account's quota in a region. Immutable.
   *
   * @param loan whether the requester is the quota holder of another region
   */
  record QuotaRequest(String account, double tokens, boolean loan) implements PeerMessage {}

  /**
   * Answers a quota request. Immutable.
   *
   * @param grantedTokens all requested tokens or none; for a loan possibly some of them
   * @param waitMilliseconds time until the tokens that were not granted have accrued
   */
  record QuotaAnswer(double grantedTokens, long waitMilliseconds) implements PeerMessage {}

  /**
   * Returns tokens that were granted to a request that was not executed. Immutable.
   *
   * @param account the client account's name
   */
  record QuotaReturn(String account, double tokens) implements PeerMessage {}

  /**
   * Forwards the availability that a runner reported in a response. Immutable.
   *
   * @param runner the runner's identifier
   * @param startTimeMilliseconds the wall-clock time of its start
   * @param leavingAgeMilliseconds how long ago it reported that it is leaving; empty if it did not
   * @param quietMilliseconds how much longer it accepts no requests; 0 if it accepts them
   */
  record RunnerNotice(
      String runner,
      long startTimeMilliseconds,
      OptionalLong leavingAgeMilliseconds,
      long quietMilliseconds)
      implements PeerMessage {}

  /**
   * Forwards the request rate that a runner last announced to accept from all instances together.
   * Immutable.
   *
   * @param runner the runner's identifier
   * @param startTimeMilliseconds the wall-clock time of its start
   * @param requestsPerSecond the limit, finite and 0 or more; empty if the runner no longer has one
   * @param ageMilliseconds how long ago the runner announced it
   */
  record RunnerLimitNotice(
      String runner,
      long startTimeMilliseconds,
      OptionalDouble requestsPerSecond,
      long ageMilliseconds)
      implements PeerMessage {}

  /**
   * Requests permits to send requests to a runner with a limit. Immutable.
   *
   * @param limit the limit as the requester knows it
   * @param wanted the number of requests to be sent
   * @param used the number of calls sent without a permit that count against the limit
   */
  record PermitRequest(RunnerLimitNotice limit, int wanted, int used) implements PeerMessage {}

  /**
   * Answers a permit request. Immutable.
   *
   * @param granted the number of permits
   * @param waitMilliseconds time until the next permit; 0 if all wanted permits were granted
   * @param responsible whether the answering instance grants permits for this runner
   */
  record PermitAnswer(int granted, long waitMilliseconds, boolean responsible)
      implements PeerMessage {}

  /**
   * Shares evidence about crashes of runners and the traits of requests that cause them. Immutable.
   *
   * @param crashes crashes with the suspects of each
   * @param survivals traits that are not the cause of earlier crashes
   * @param quarantined traits with which no request may be sent to runners
   * @param ended quarantines that are over
   */
  record CrashEvidence(
      List<RunnerCrash> crashes,
      List<TraitSurvival> survivals,
      List<QuarantinedTrait> quarantined,
      List<EndedQuarantine> ended)
      implements PeerMessage {
    /** Copies the lists. */
    public CrashEvidence {
      crashes = List.copyOf(crashes);
      survivals = List.copyOf(survivals);
      quarantined = List.copyOf(quarantined);
      ended = List.copyOf(ended);
    }
  }

  /**
   * A crash of one process of a runner. Immutable.
   *
   * @param runner the runner's identifier
   * @param startTimeMilliseconds the wall-clock time of the process's start
   * @param positions the traits of the requests that were lost before their responses had begun,
   *     with the greatest position of each among those of its requests
   */
  record RunnerCrash(
      String runner,
      long startTimeMilliseconds,
      long ageMilliseconds,
      Map<String, Integer> positions) {
    /** Copies the map. */
    public RunnerCrash {
      positions = Map.copyOf(positions);
    }
  }

  /** A trait on which a runner has begun a response without crashing. Immutable. */
  record TraitSurvival(String trait, long ageMilliseconds) {}

  /**
   * The end of all quarantines of a trait up to a number. Immutable.
   *
   * @param number the number of the last quarantine that is over
   */
  record EndedQuarantine(String trait, int number) {}

  /**
   * A trait with which no request may be sent to runners. Immutable.
   *
   * @param number counts the quarantines of the trait from 1
   * @param remainingMilliseconds the time until its quarantine ends
   * @param stored whether the store holds it
   */
  record QuarantinedTrait(String trait, int number, long remainingMilliseconds, boolean stored) {}

  /**
   * Shares what an instance, or all instances that it speaks for, know of some subjects. Immutable.
   *
   * @param source the reporting instance, or the failure domain for which its relay reports
   * @param whole whether the facts include those of all other sources
   * @param kinds the facts by kind
   */
  record KnowledgeReport(String source, boolean whole, List<KnownKind> kinds)
      implements PeerMessage {
    /** Copies the list. */
    public KnowledgeReport {
      kinds = List.copyOf(kinds);
    }
  }

  /** Facts of one kind. Immutable. */
  record KnownKind(String name, List<KnownFact> facts) {
    /** Copies the list. */
    public KnownKind {
      facts = List.copyOf(facts);
    }
  }

  /**
   * What is known of one subject. Immutable.
   *
   * @param ageMilliseconds the time since it was observed
   * @param numbers the value, as its kind encodes it
   */
  record KnownFact(String subject, long ageMilliseconds, List<Long> numbers) {
    /** Copies the list. */
    public KnownFact {
      numbers = List.copyOf(numbers);
    }
  }

  /**
   * Requests the configuration and the runner entries that an instance knows. Immutable.
   *
   * @param configurationVersion the version that the requester has; 0 if none
   */
  record SnapshotRequest(long configurationVersion) implements PeerMessage {}

  /**
   * Answers a snapshot request. Immutable as long as the arrays are not changed.
   *
   * @param configuration the configuration as the store returned it; empty if it is not newer
   * @param runners the runners' entries as the store returned them
   * @param ageMilliseconds how long ago the store confirmed them
   */
  record SnapshotAnswer(Optional<byte[]> configuration, List<byte[]> runners, long ageMilliseconds)
      implements PeerMessage {
    /** Copies the list. */
    public SnapshotAnswer {
      runners = List.copyOf(runners);
    }
  }

  /** The instances over which demand is summed. */
  enum DemandScope {
    /** The instances of a failure domain. */
    FAILURE_DOMAIN,
    /** The failure domains of a region. */
    REGION
  }

  /**
   * An update about one member. Immutable.
   *
   * @param instance the member
   * @param incarnation number that the member increments with each of its own updates
   * @param liveness the member's liveness in the sender's view
   */
  record MemberStatement(Instance instance, long incarnation, MemberLiveness liveness) {}

  /** Liveness of a member in the sender's view. */
  enum MemberLiveness {
    /** It responds to probes. */
    ALIVE,
    /** It is suspected to be dead. */
    SUSPECT,
    /** It is dead. */
    DEAD
  }

  /**
   * A notice that an upstream is leaving. Immutable.
   *
   * @param name the upstream's name
   * @param remainingMilliseconds remaining time for which the notice is valid
   */
  record LeavingUpstream(String name, long remainingMilliseconds) {}

  /** The purpose of a membership message, with its data. */
  sealed interface MembershipOperation {}

  /**
   * Requests an acknowledgement. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member that must answer
   */
  record Probe(long sequence, String target) implements MembershipOperation {}

  /**
   * Answers a probe. Immutable.
   *
   * @param sequence the sequence of the probe
   * @param reached false if a relay did not reach the target
   */
  record Acknowledgement(long sequence, boolean reached) implements MembershipOperation {}

  /**
   * Requests that the receiver probe a third member. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member to probe
   * @param address the target's address
   */
  record IndirectProbe(long sequence, String target, Address address)
      implements MembershipOperation {}

  /** Spreads updates without further data. Immutable. */
  record Gossip() implements MembershipOperation {}

  /**
   * Starts or continues an exchange of member tables. Immutable.
   *
   * @param afterId the identifier after which the sender's page starts
   * @param lastPage whether the sender has no member after its page
   * @param tableHash the hash of the sender's table
   */
  record StateRequest(String afterId, boolean lastPage, long tableHash)
      implements MembershipOperation {}

  /**
   * Answers a state request. Immutable.
   *
   * @param nextAfterId the identifier after which the next page starts
   * @param more whether there is a next page
   */
  record StateAnswer(String nextAfterId, boolean more) implements MembershipOperation {}
}
