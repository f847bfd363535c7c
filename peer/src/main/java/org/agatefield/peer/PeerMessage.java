package org.agatefield.peer;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.model.Address;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Instance;
import org.agatefield.model.ModelDemand;

/** A message between instances. */
public sealed interface PeerMessage {
  /**
   * One step of the membership protocol. Immutable.
   *
   * @param sender what the sender says of itself
   * @param generation the highest configuration generation that the sender has
   * @param updates statements about members
   * @param leavingUpstreams upstreams that the sender knows to be leaving
   * @param operation what the message is for
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
   * Asks for the configuration if it is newer. Immutable.
   *
   * @param generation the highest generation that the sender has
   */
  record ConfigurationRequest(long generation) implements PeerMessage {}

  /**
   * Answers a configuration request. Immutable as long as nobody changes the array.
   *
   * @param generation the highest generation that the answerer has
   * @param document the compressed document; empty if the asker has that generation
   */
  record ConfigurationAnswer(long generation, Optional<byte[]> document) implements PeerMessage {}

  /**
   * Carries demand up the tree. Immutable.
   *
   * @param instance who reports
   * @param samples demand, added up over the instances that it covers
   * @param ageMilliseconds the age of the oldest part
   * @param instances number of instances that it covers
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
   * Asks for the demand of the asked instance's failure domain or region. Immutable.
   *
   * @param scope how much to add up
   */
  record DemandRequest(DemandScope scope) implements PeerMessage {}

  /**
   * Tells where demand is to be sent. Immutable.
   *
   * @param instance the holder of the planner's lease
   * @param fencingToken the token of its grant
   */
  record PlannerNotice(String instance, long fencingToken) implements PeerMessage {}

  /**
   * Demand of one instance for models, for the planner. Immutable.
   *
   * @param instance who reports
   * @param demands one for each model that was asked for
   */
  record ModelDemandReport(String instance, List<ModelDemand> demands) implements PeerMessage {
    /** Copies the list. */
    public ModelDemandReport {
      demands = List.copyOf(demands);
    }
  }

  /**
   * Tells what the planner did at a runner, before the runner's entry does. Immutable.
   *
   * @param runner the runner's identifier
   * @param model the model's name
   * @param change what happens to it
   * @param expectedMilliseconds how long until it is there, while it is being loaded
   */
  record ModelNotice(String runner, String model, ModelChange change, long expectedMilliseconds)
      implements PeerMessage {}

  /** What the planner does with a model at a runner. */
  enum ModelChange {
    /** The runner has it from now on. */
    LOADED,
    /** The runner is about to drop it. */
    DROPPING,
    /** The runner is loading it. */
    LOADING
  }

  /**
   * Asks the planner to have an adapter loaded. Immutable.
   *
   * @param runner the runner's identifier
   * @param model the model that the adapter belongs to
   * @param adapter the adapter's name
   */
  record AdapterRequest(String runner, String model, String adapter) implements PeerMessage {}

  /**
   * Answers an adapter request. Immutable.
   *
   * @param present whether the runner has the adapter now
   */
  record AdapterAnswer(boolean present) implements PeerMessage {}

  /**
   * What one instance has running at runners. Immutable.
   *
   * @param instance who reports
   * @param loads one for each runner that has work from it
   */
  record RunnerLoadReport(String instance, List<RunnerShare> loads) implements PeerMessage {
    /** Copies the list. */
    public RunnerLoadReport {
      loads = List.copyOf(loads);
    }
  }

  /**
   * Work of one instance at one runner. Immutable.
   *
   * @param runner the runner's identifier
   * @param running requests that were sent and have not ended
   * @param unreadPromptTokens prompt tokens of those without a first event
   */
  record RunnerShare(String runner, int running, int unreadPromptTokens) {}

  /**
   * A message that the receiver hands on to the other instances of its failure domain.
   *
   * @param message expects no answer
   */
  record Relayed(PeerMessage message) implements PeerMessage {}

  /**
   * Asks an instance that watches the store for its objects of a kind.
   *
   * @param fromVersion from the answer before; empty asks for all objects
   * @param waitMilliseconds how long to wait for a change
   */
  record ObjectsRequest(String kind, String fromVersion, int waitMilliseconds)
      implements PeerMessage {}

  /**
   * Objects of a kind as another instance knows them.
   *
   * @param version to go on from
   * @param whole whether these are all objects; otherwise they are the changes in their order
   */
  record ObjectsAnswer(String version, boolean whole, List<ObjectState> objects)
      implements PeerMessage {
    /** Copies the list. */
    public ObjectsAnswer {
      objects = List.copyOf(objects);
    }
  }

  /**
   * One object, or that it was deleted. Immutable as long as nobody changes {@code content}.
   *
   * @param resourceVersion the store's version of the object
   * @param content compressed JSON; empty if the object was deleted
   */
  record ObjectState(String name, String resourceVersion, Optional<byte[]> content) {}

  /**
   * Asks the holder of a client account's quota in a region for tokens. Immutable.
   *
   * @param loan whether the asker is the holder of another region
   */
  record QuotaRequest(String account, double tokens, boolean loan) implements PeerMessage {}

  /**
   * Answers a quota request. Immutable.
   *
   * @param grantedTokens all that were asked for or none; of a loan perhaps a part
   * @param waitMilliseconds how long until tokens that were not granted are earned
   */
  record QuotaAnswer(double grantedTokens, long waitMilliseconds) implements PeerMessage {}

  /**
   * Gives tokens back that were granted to a request that has not run. Immutable.
   *
   * @param account the client account's name
   */
  record QuotaReturn(String account, double tokens) implements PeerMessage {}

  /**
   * Tells what a runner said of itself in an answer. Immutable.
   *
   * @param runner the runner's identifier
   * @param startTimeMilliseconds the wall-clock time of its start
   * @param leavingAgeMilliseconds how long ago it said that it leaves; empty if it did not
   * @param quietMilliseconds how long it still wants no requests; 0 if it takes them
   */
  record RunnerNotice(
      String runner,
      long startTimeMilliseconds,
      OptionalLong leavingAgeMilliseconds,
      long quietMilliseconds)
      implements PeerMessage {}

  /**
   * Asks for what an instance knows of the configuration and the runners. Immutable.
   *
   * @param configurationVersion the version that the asker has; 0 if none
   */
  record SnapshotRequest(long configurationVersion) implements PeerMessage {}

  /**
   * Answers a snapshot request. Immutable as long as nobody changes the arrays.
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

  /** How much demand is added up. */
  enum DemandScope {
    /** The instances of a failure domain. */
    FAILURE_DOMAIN,
    /** The failure domains of a region. */
    REGION
  }

  /**
   * A statement about one member. Immutable.
   *
   * @param instance the member
   * @param incarnation the member's own count of its statements
   * @param liveness what is believed of it
   */
  record MemberStatement(Instance instance, long incarnation, MemberLiveness liveness) {}

  /** What is believed of a member. */
  enum MemberLiveness {
    /** It answers. */
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
   * @param remainingMilliseconds how long the notice still holds
   */
  record LeavingUpstream(String name, long remainingMilliseconds) {}

  /** What a step of the membership protocol is for. */
  sealed interface MembershipOperation {}

  /**
   * Asks for an acknowledgement. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member that should answer
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
   * Asks for a probe of a third member. Immutable.
   *
   * @param sequence returned in the acknowledgement
   * @param target the identifier of the member to probe
   * @param address where the target listens
   */
  record IndirectProbe(long sequence, String target, Address address)
      implements MembershipOperation {}

  /** Spreads news only. Immutable. */
  record Gossip() implements MembershipOperation {}

  /**
   * Begins or continues an exchange of member tables. Immutable.
   *
   * @param afterId where the sender's page starts
   * @param lastPage whether the sender has nothing after it
   * @param tableHash the hash of the sender's table
   */
  record StateRequest(String afterId, boolean lastPage, long tableHash)
      implements MembershipOperation {}

  /**
   * Answers a state request. Immutable.
   *
   * @param nextAfterId where the next page starts
   * @param more whether there is one
   */
  record StateAnswer(String nextAfterId, boolean more) implements MembershipOperation {}
}
