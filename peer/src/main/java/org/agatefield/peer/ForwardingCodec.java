package org.agatefield.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.agatefield.model.ModelDemand;
import org.agatefield.peer.generated.PeerProtocol;
import org.agatefield.peer.generated.PeerProtocol.Envelope;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Converts forwarding and placement messages to and from protobuf. Stateless. */
final class ForwardingCodec {
  private static final Logger LOGGER = LogManager.getLogger(ForwardingCodec.class);

  private ForwardingCodec() {}

  /** Sets the message in the envelope; returns false if another codec handles its type. */
  static boolean encode(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.PlannerNotice notice) {
      envelope.setPlannerNotice(
          PeerProtocol.PlannerNotice.newBuilder()
              .setInstance(notice.instance())
              .setFencingToken(notice.fencingToken()));
    } else if (message instanceof PeerMessage.ModelDemandReport report) {
      envelope.setModelDemandReport(encodeDemand(report));
    } else if (message instanceof PeerMessage.ModelNotice notice) {
      envelope.setModelNotice(
          PeerProtocol.ModelNotice.newBuilder()
              .setRunner(notice.runner())
              .setModel(notice.model())
              .setChange(encodeChange(notice.change()))
              .setExpectedMilliseconds((int) notice.expectedMilliseconds()));
    } else if (message instanceof PeerMessage.AdapterRequest request) {
      envelope.setAdapterRequest(
          PeerProtocol.AdapterRequest.newBuilder()
              .setRunner(request.runner())
              .setModel(request.model())
              .setAdapter(request.adapter()));
    } else if (message instanceof PeerMessage.AdapterAnswer answer) {
      envelope.setAdapterAnswer(
          PeerProtocol.AdapterAnswer.newBuilder().setPresent(answer.present()));
    } else if (message instanceof PeerMessage.RunnerLoadReport report) {
      envelope.setRunnerLoadReport(encodeLoads(report));
    } else if (message instanceof PeerMessage.SnapshotRequest request) {
      envelope.setSnapshotRequest(
          PeerProtocol.SnapshotRequest.newBuilder()
              .setConfigurationVersion(request.configurationVersion()));
    } else if (message instanceof PeerMessage.SnapshotAnswer answer) {
      envelope.setSnapshotAnswer(encodeSnapshot(answer));
    } else if (message instanceof PeerMessage.ObjectsRequest request) {
      envelope.setObjectsRequest(
          PeerProtocol.ObjectsRequest.newBuilder()
              .setKind(request.kind())
              .setFromVersion(request.fromVersion())
              .setWaitMilliseconds(request.waitMilliseconds()));
    } else if (message instanceof PeerMessage.ObjectsAnswer answer) {
      envelope.setObjectsAnswer(encodeObjects(answer));
    } else if (message instanceof PeerMessage.QuotaRequest request) {
      envelope.setQuotaRequest(
          PeerProtocol.QuotaRequest.newBuilder()
              .setAccount(request.account())
              .setTokens(request.tokens())
              .setLoan(request.loan()));
    } else if (message instanceof PeerMessage.QuotaAnswer answer) {
      envelope.setQuotaAnswer(
          PeerProtocol.QuotaAnswer.newBuilder()
              .setGrantedTokens(answer.grantedTokens())
              .setWaitMilliseconds((int) answer.waitMilliseconds()));
    } else if (message instanceof PeerMessage.QuotaReturn returned) {
      envelope.setQuotaReturn(
          PeerProtocol.QuotaReturn.newBuilder()
              .setAccount(returned.account())
              .setTokens(returned.tokens()));
    } else if (message instanceof PeerMessage.RunnerNotice notice) {
      envelope.setRunnerNotice(encodeRunner(notice));
    } else if (message instanceof PeerMessage.RunnerLimitNotice notice) {
      envelope.setRunnerLimitNotice(encodeLimit(notice));
    } else if (message instanceof PeerMessage.PermitRequest request) {
      envelope.setPermitRequest(
          PeerProtocol.PermitRequest.newBuilder()
              .setLimit(encodeLimit(request.limit()))
              .setWanted(request.wanted())
              .setUsed(request.used()));
    } else if (message instanceof PeerMessage.PermitAnswer answer) {
      envelope.setPermitAnswer(
          PeerProtocol.PermitAnswer.newBuilder()
              .setGranted(answer.granted())
              .setWaitMilliseconds((int) answer.waitMilliseconds())
              .setNotResponsible(!answer.responsible()));
    } else if (message instanceof PeerMessage.CrashEvidence evidence) {
      envelope.setCrashEvidence(CrashEvidenceCodec.encode(evidence));
    } else if (message instanceof PeerMessage.KnowledgeReport report) {
      envelope.setKnowledgeReport(KnowledgeCodec.encode(report));
    } else {
      return false;
    }
    return true;
  }

  /** Returns the message; empty if another codec handles its type. */
  static Optional<PeerMessage> decode(Envelope envelope) {
    return switch (envelope.getMessageCase()) {
      case PLANNER_NOTICE ->
          Optional.of(
              new PeerMessage.PlannerNotice(
                  envelope.getPlannerNotice().getInstance(),
                  envelope.getPlannerNotice().getFencingToken()));
      case MODEL_DEMAND_REPORT -> Optional.of(decodeDemand(envelope.getModelDemandReport()));
      case MODEL_NOTICE -> decodeNotice(envelope.getModelNotice());
      case ADAPTER_REQUEST ->
          Optional.of(
              new PeerMessage.AdapterRequest(
                  envelope.getAdapterRequest().getRunner(),
                  envelope.getAdapterRequest().getModel(),
                  envelope.getAdapterRequest().getAdapter()));
      case ADAPTER_ANSWER ->
          Optional.of(new PeerMessage.AdapterAnswer(envelope.getAdapterAnswer().getPresent()));
      case RUNNER_LOAD_REPORT -> Optional.of(decodeLoads(envelope.getRunnerLoadReport()));
      case SNAPSHOT_REQUEST ->
          Optional.of(
              new PeerMessage.SnapshotRequest(
                  envelope.getSnapshotRequest().getConfigurationVersion()));
      case SNAPSHOT_ANSWER -> Optional.of(decodeSnapshot(envelope.getSnapshotAnswer()));
      case OBJECTS_REQUEST ->
          Optional.of(
              new PeerMessage.ObjectsRequest(
                  envelope.getObjectsRequest().getKind(),
                  envelope.getObjectsRequest().getFromVersion(),
                  envelope.getObjectsRequest().getWaitMilliseconds()));
      case OBJECTS_ANSWER -> Optional.of(decodeObjects(envelope.getObjectsAnswer()));
      case QUOTA_REQUEST ->
          Optional.of(
              new PeerMessage.QuotaRequest(
                  envelope.getQuotaRequest().getAccount(),
                  envelope.getQuotaRequest().getTokens(),
                  envelope.getQuotaRequest().getLoan()));
      case QUOTA_ANSWER ->
          Optional.of(
              new PeerMessage.QuotaAnswer(
                  envelope.getQuotaAnswer().getGrantedTokens(),
                  envelope.getQuotaAnswer().getWaitMilliseconds()));
      case QUOTA_RETURN ->
          Optional.of(
              new PeerMessage.QuotaReturn(
                  envelope.getQuotaReturn().getAccount(), envelope.getQuotaReturn().getTokens()));
      case RUNNER_NOTICE -> Optional.of(decodeRunner(envelope.getRunnerNotice()));
      case RUNNER_LIMIT_NOTICE -> decodeLimit(envelope.getRunnerLimitNotice()).map(each -> each);
      case PERMIT_REQUEST -> decodePermitRequest(envelope.getPermitRequest());
      case CRASH_EVIDENCE -> Optional.of(CrashEvidenceCodec.decode(envelope.getCrashEvidence()));
      case KNOWLEDGE_REPORT -> Optional.of(KnowledgeCodec.decode(envelope.getKnowledgeReport()));
      case PERMIT_ANSWER -> Optional.of(decodePermitAnswer(envelope.getPermitAnswer()));
      default -> Optional.empty();
    };
  }

  private static PeerProtocol.RunnerNotice encodeRunner(PeerMessage.RunnerNotice notice) {
    PeerProtocol.RunnerNotice.Builder builder =
        PeerProtocol.RunnerNotice.newBuilder()
            .setRunner(notice.runner())
            .setBornMilliseconds(notice.startTimeMilliseconds())
            .setQuietMilliseconds((int) notice.quietMilliseconds());
    notice.leavingAgeMilliseconds().ifPresent(age -> builder.setLeavingAgeMilliseconds((int) age));
    return builder.build();
  }

  private static PeerMessage decodeRunner(PeerProtocol.RunnerNotice notice) {
    return new PeerMessage.RunnerNotice(
        notice.getRunner(),
        notice.getBornMilliseconds(),
        notice.hasLeavingAgeMilliseconds()
            ? OptionalLong.of(notice.getLeavingAgeMilliseconds())
            : OptionalLong.empty(),
        notice.getQuietMilliseconds());
  }

  private static PeerProtocol.RunnerLimitNotice encodeLimit(PeerMessage.RunnerLimitNotice notice) {
    PeerProtocol.RunnerLimitNotice.Builder builder =
        PeerProtocol.RunnerLimitNotice.newBuilder()
            .setRunner(notice.runner())
            .setBornMilliseconds(notice.startTimeMilliseconds())
            .setAgeMilliseconds((int) notice.ageMilliseconds());
    notice.requestsPerSecond().ifPresent(builder::setRequestsPerSecond);
    return builder.build();
  }

  /** Returns the notice; empty if its limit is not a valid rate. */
  private static Optional<PeerMessage.RunnerLimitNotice> decodeLimit(
      PeerProtocol.RunnerLimitNotice notice) {
    double perSecond = notice.getRequestsPerSecond();
    if (!Double.isFinite(perSecond) || perSecond < 0) {
      LOGGER.warn("ignoring invalid rate limit from a peer: {}", perSecond);
      return Optional.empty();
    }
    return Optional.of(
        new PeerMessage.RunnerLimitNotice(
            notice.getRunner(),
            notice.getBornMilliseconds(),
            notice.hasRequestsPerSecond() ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
            Integer.toUnsignedLong(notice.getAgeMilliseconds())));
  }

  private static Optional<PeerMessage> decodePermitRequest(PeerProtocol.PermitRequest request) {
    int wanted = Math.max(0, request.getWanted());
    int used = Math.max(0, request.getUsed());
    return decodeLimit(request.getLimit())
        .map(limit -> new PeerMessage.PermitRequest(limit, wanted, used));
  }

  private static PeerMessage decodePermitAnswer(PeerProtocol.PermitAnswer answer) {
    return new PeerMessage.PermitAnswer(
        Math.max(0, answer.getGranted()),
        Integer.toUnsignedLong(answer.getWaitMilliseconds()),
        !answer.getNotResponsible());
  }

  private static PeerProtocol.ObjectsAnswer encodeObjects(PeerMessage.ObjectsAnswer answer) {
    PeerProtocol.ObjectsAnswer.Builder builder =
        PeerProtocol.ObjectsAnswer.newBuilder()
            .setVersion(answer.version())
            .setWhole(answer.whole());
    for (PeerMessage.ObjectState object : answer.objects()) {
      PeerProtocol.ObjectState.Builder state =
          PeerProtocol.ObjectState.newBuilder()
              .setName(object.name())
              .setResourceVersion(object.resourceVersion())
              .setDeleted(object.content().isEmpty());
      object.content().ifPresent(bytes -> state.setContent(ByteString.copyFrom(bytes)));
      builder.addObjects(state);
    }
    return builder.build();
  }

  private static PeerMessage decodeObjects(PeerProtocol.ObjectsAnswer answer) {
    List<PeerMessage.ObjectState> objects =
        answer.getObjectsList().stream()
            .map(
                object ->
                    new PeerMessage.ObjectState(
                        object.getName(),
                        object.getResourceVersion(),
                        object.getDeleted()
                            ? Optional.empty()
                            : Optional.of(object.getContent().toByteArray())))
            .toList();
    return new PeerMessage.ObjectsAnswer(answer.getVersion(), answer.getWhole(), objects);
  }

  private static PeerProtocol.ModelChange encodeChange(PeerMessage.ModelChange change) {
    return switch (change) {
      case LOADED -> PeerProtocol.ModelChange.MODEL_CHANGE_LOADED;
      case DROPPING -> PeerProtocol.ModelChange.MODEL_CHANGE_DROPPING;
      case LOADING -> PeerProtocol.ModelChange.MODEL_CHANGE_LOADING;
    };
  }

  private static Optional<PeerMessage> decodeNotice(PeerProtocol.ModelNotice notice) {
    Optional<PeerMessage.ModelChange> change =
        switch (notice.getChange()) {
          case MODEL_CHANGE_LOADED -> Optional.of(PeerMessage.ModelChange.LOADED);
          case MODEL_CHANGE_DROPPING -> Optional.of(PeerMessage.ModelChange.DROPPING);
          case MODEL_CHANGE_LOADING -> Optional.of(PeerMessage.ModelChange.LOADING);
          case MODEL_CHANGE_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    return change.map(
        known ->
            new PeerMessage.ModelNotice(
                notice.getRunner(), notice.getModel(), known, notice.getExpectedMilliseconds()));
  }

  private static PeerProtocol.ModelDemandReport encodeDemand(PeerMessage.ModelDemandReport report) {
    PeerProtocol.ModelDemandReport.Builder builder =
        PeerProtocol.ModelDemandReport.newBuilder().setInstance(report.instance());
    for (ModelDemand demand : report.demands()) {
      builder.addDemands(
          PeerProtocol.ModelDemand.newBuilder()
              .setService(demand.service())
              .setModel(demand.model())
              .setArrivedTokens(demand.arrivedTokens())
              .setArrivedRequests(demand.arrivedRequests())
              .setWaitingRequests(demand.waitingRequests())
              .setRunningRequests(demand.runningRequests())
              .setPriority(demand.priority())
              .putAllRunningAt(demand.runningAt())
              .setArrivedOutputTokens(demand.arrivedOutputTokens()));
    }
    return builder.build();
  }

  private static PeerMessage decodeDemand(PeerProtocol.ModelDemandReport report) {
    List<ModelDemand> demands =
        report.getDemandsList().stream()
            .map(
                demand ->
                    new ModelDemand(
                        demand.getService(),
                        demand.getModel(),
                        demand.getArrivedTokens(),
                        demand.getArrivedRequests(),
                        demand.getWaitingRequests(),
                        demand.getRunningRequests(),
                        demand.getPriority(),
                        demand.getRunningAtMap(),
                        demand.getArrivedOutputTokens()))
            .toList();
    return new PeerMessage.ModelDemandReport(report.getInstance(), demands);
  }

  private static PeerProtocol.RunnerLoadReport encodeLoads(PeerMessage.RunnerLoadReport report) {
    PeerProtocol.RunnerLoadReport.Builder builder =
        PeerProtocol.RunnerLoadReport.newBuilder().setInstance(report.instance());
    for (PeerMessage.RunnerShare share : report.loads()) {
      builder.addLoads(
          PeerProtocol.RunnerLoad.newBuilder()
              .setRunner(share.runner())
              .setRunning(share.running())
              .setUnreadPromptTokens(share.unreadPromptTokens()));
    }
    return builder.build();
  }

  private static PeerMessage decodeLoads(PeerProtocol.RunnerLoadReport report) {
    List<PeerMessage.RunnerShare> shares =
        report.getLoadsList().stream()
            .map(
                load ->
                    new PeerMessage.RunnerShare(
                        load.getRunner(), load.getRunning(), load.getUnreadPromptTokens()))
            .toList();
    return new PeerMessage.RunnerLoadReport(report.getInstance(), shares);
  }

  private static PeerProtocol.SnapshotAnswer encodeSnapshot(PeerMessage.SnapshotAnswer answer) {
    PeerProtocol.SnapshotAnswer.Builder builder =
        PeerProtocol.SnapshotAnswer.newBuilder().setAgeMilliseconds((int) answer.ageMilliseconds());
    answer.configuration().ifPresent(bytes -> builder.setConfiguration(ByteString.copyFrom(bytes)));
    answer.runners().forEach(bytes -> builder.addRunners(ByteString.copyFrom(bytes)));
    return builder.build();
  }

  private static PeerMessage decodeSnapshot(PeerProtocol.SnapshotAnswer answer) {
    Optional<byte[]> configuration =
        answer.getConfiguration().isEmpty()
            ? Optional.empty()
            : Optional.of(answer.getConfiguration().toByteArray());
    List<byte[]> runners = answer.getRunnersList().stream().map(ByteString::toByteArray).toList();
    return new PeerMessage.SnapshotAnswer(configuration, runners, answer.getAgeMilliseconds());
  }
}
