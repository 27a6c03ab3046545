package org.jackdawslip.internal.entry;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.FencingToken;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.ownership.AssignmentTable;
import org.jackdawslip.internal.ownership.CoordinatorRecord;
import org.jackdawslip.internal.ownership.Heartbeat;
import org.jackdawslip.internal.ownership.HeartbeatReply;
import org.jackdawslip.internal.ownership.HomeAssignment;
import org.jackdawslip.internal.ownership.HomesRecord;
import org.jackdawslip.internal.ownership.KeyRange;
import org.jackdawslip.internal.ownership.RangeAssignment;
import org.jackdawslip.internal.ownership.SenderAssignment;
import org.jackdawslip.internal.ownership.SenderSummary;
import org.jackdawslip.internal.ownership.TableVersion;
import org.jackdawslip.protocol.DomainRange;
import org.jackdawslip.protocol.InstanceAddress;
import org.jackdawslip.protocol.TableUpdate;

/**
 * Converts the ownership messages of the core module to and from protobuf messages. Stateless and
 * thread-safe.
 */
final class OwnershipCodec {

    private OwnershipCodec() {}

    static org.jackdawslip.protocol.Heartbeat toMessage(Heartbeat heartbeat, InstanceAddress from) {
        org.jackdawslip.protocol.Heartbeat.Builder message = org.jackdawslip.protocol.Heartbeat.newBuilder()
                .setFrom(from)
                .setBundleVersion(heartbeat.bundleVersion())
                .setTableVersion(toMessage(heartbeat.tableVersion()))
                .setLeaving(heartbeat.leaving())
                .setAsksConsent(heartbeat.asksConsent())
                .setSentAtMillis(heartbeat.sentAtMillis());
        heartbeat.permitAges().forEach((member, age) -> message.putPermitAges(member.value(), age));
        heartbeat.senders().forEach(summary -> message.addSenders(toMessage(summary)));
        heartbeat.coordinator().ifPresent(record -> message.setCoordinator(toMessage(record)));
        return message.build();
    }

    static Heartbeat fromMessage(org.jackdawslip.protocol.Heartbeat message) {
        return new Heartbeat(
                new InstanceId(message.getFrom().getInstance()),
                message.getFrom().getStartId(),
                message.getBundleVersion(),
                fromMessage(message.getTableVersion()),
                message.getSendersList().stream()
                        .map(OwnershipCodec::fromMessage)
                        .toList(),
                message.getLeaving(),
                message.getSentAtMillis(),
                permitAges(message.getPermitAgesMap()),
                message.hasCoordinator() ? Optional.of(fromMessage(message.getCoordinator())) : Optional.empty(),
                message.getAsksConsent());
    }

    static org.jackdawslip.protocol.HeartbeatAnswer toMessage(HeartbeatReply answer, InstanceAddress from) {
        return org.jackdawslip.protocol.HeartbeatAnswer.newBuilder()
                .setFrom(from)
                .setSentAtMillis(answer.sentAtMillis())
                .setPermit(answer.permit())
                .setPermitCoversMove(answer.permitCoversMove())
                .setPermitVersion(toMessage(answer.permitVersion()))
                .setPromise(answer.promise())
                .setConsent(answer.consent())
                .setPromiseEpoch(answer.promiseEpoch())
                .setTableVersion(toMessage(answer.tableVersion()))
                .setBundleVersion(answer.bundleVersion())
                .build();
    }

    static HeartbeatReply fromMessage(org.jackdawslip.protocol.HeartbeatAnswer message) {
        return new HeartbeatReply(
                new InstanceId(message.getFrom().getInstance()),
                message.getSentAtMillis(),
                message.getPermit(),
                message.getPermitCoversMove(),
                fromMessage(message.getPermitVersion()),
                message.getPromise(),
                message.getConsent(),
                message.getPromiseEpoch(),
                fromMessage(message.getTableVersion()),
                message.getBundleVersion());
    }

    static TableUpdate toMessage(AssignmentTable table, InstanceId from) {
        TableUpdate.Builder message =
                TableUpdate.newBuilder().setVersion(toMessage(table.version())).setFrom(from.value());
        for (RangeAssignment entry : table.ranges()) {
            message.addRangesBuilder()
                    .setService(entry.service().value())
                    .setFirst(entry.range().first())
                    .setLast(entry.range().last())
                    .setBackendServer(entry.owner().map(BackendServerId::value).orElse(""))
                    .setRangeToken(entry.token().value());
        }
        for (SenderAssignment entry : table.senders()) {
            message.addSendersBuilder()
                    .setBackendServer(entry.backendServer().value())
                    .setInstance(entry.sender().map(InstanceId::value).orElse(""))
                    .setSenderToken(entry.token().value());
        }
        table.homes().forEach(record -> message.addHomes(toMessage(record)));
        table.members().forEach(member -> message.addMembers(member.value()));
        table.unfenced().forEach(member -> message.addUnfenced(member.value()));
        table.coordinator().ifPresent(record -> message.setCoordinator(toMessage(record)));
        return message.build();
    }

    static AssignmentTable fromMessage(TableUpdate message) {
        return new AssignmentTable(
                fromMessage(message.getVersion()),
                message.getRangesList().stream()
                        .map(OwnershipCodec::fromMessage)
                        .toList(),
                message.getSendersList().stream()
                        .map(OwnershipCodec::fromMessage)
                        .toList(),
                message.getHomesList().stream().map(OwnershipCodec::fromMessage).toList(),
                instances(message.getMembersList()),
                instances(message.getUnfencedList()),
                message.hasCoordinator() ? Optional.of(fromMessage(message.getCoordinator())) : Optional.empty());
    }

    static org.jackdawslip.protocol.HomesRecord toMessage(HomesRecord record) {
        org.jackdawslip.protocol.HomesRecord.Builder message = org.jackdawslip.protocol.HomesRecord.newBuilder()
                .setService(record.service().value())
                .setVersion(record.version())
                .setMark(record.mark())
                .setModifyIndex(record.modifyIndex());
        for (HomeAssignment home : record.homes()) {
            message.addHomesBuilder()
                    .setFirst(home.range().first())
                    .setLast(home.range().last())
                    .setFailureDomain(home.failureDomain().value());
        }
        return message.build();
    }

    static HomesRecord fromMessage(org.jackdawslip.protocol.HomesRecord message) {
        return new HomesRecord(
                new ServiceName(message.getService()),
                message.getVersion(),
                message.getHomesList().stream().map(OwnershipCodec::home).toList(),
                message.getMark(),
                message.getModifyIndex());
    }

    static org.jackdawslip.protocol.CoordinatorRecord toMessage(CoordinatorRecord record) {
        return org.jackdawslip.protocol.CoordinatorRecord.newBuilder()
                .setCoordinator(record.coordinator().map(InstanceId::value).orElse(""))
                .setSuccessor(record.successor().map(InstanceId::value).orElse(""))
                .setWitness(record.witness().map(InstanceId::value).orElse(""))
                .setEpoch(record.epoch())
                .setMark(record.mark())
                .setModifyIndex(record.modifyIndex())
                .build();
    }

    static CoordinatorRecord fromMessage(org.jackdawslip.protocol.CoordinatorRecord message) {
        return new CoordinatorRecord(
                instance(message.getCoordinator()),
                instance(message.getSuccessor()),
                instance(message.getWitness()),
                message.getEpoch(),
                message.getMark(),
                message.getModifyIndex());
    }

    private static org.jackdawslip.protocol.SenderSummary toMessage(SenderSummary summary) {
        return org.jackdawslip.protocol.SenderSummary.newBuilder()
                .setBackendServer(summary.backendServer().value())
                .setSenderToken(summary.senderToken().value())
                .setFreeSlots(summary.freeSlots())
                .setQueueLength(summary.queueLength())
                .setAccepting(summary.accepting())
                .setUnreachable(summary.unreachable())
                .setMillisSinceLastRenewal(summary.millisSinceLastRenewal())
                .setGrantedVersion(toMessage(summary.grantedVersion()))
                .build();
    }

    private static SenderSummary fromMessage(org.jackdawslip.protocol.SenderSummary message) {
        return new SenderSummary(
                new BackendServerId(message.getBackendServer()),
                new FencingToken(message.getSenderToken()),
                message.getFreeSlots(),
                message.getQueueLength(),
                message.getAccepting(),
                message.getUnreachable(),
                message.getMillisSinceLastRenewal(),
                fromMessage(message.getGrantedVersion()));
    }

    private static org.jackdawslip.protocol.TableVersion toMessage(TableVersion version) {
        return org.jackdawslip.protocol.TableVersion.newBuilder()
                .setEpoch(version.epoch())
                .setNumber(version.number())
                .build();
    }

    private static TableVersion fromMessage(org.jackdawslip.protocol.TableVersion message) {
        return new TableVersion(message.getEpoch(), message.getNumber());
    }

    private static RangeAssignment fromMessage(org.jackdawslip.protocol.RangeAssignment message) {
        return new RangeAssignment(
                new ServiceName(message.getService()),
                new KeyRange(message.getFirst(), message.getLast()),
                message.getBackendServer().isEmpty()
                        ? Optional.empty()
                        : Optional.of(new BackendServerId(message.getBackendServer())),
                new FencingToken(message.getRangeToken()));
    }

    private static SenderAssignment fromMessage(org.jackdawslip.protocol.SenderAssignment message) {
        return new SenderAssignment(
                new BackendServerId(message.getBackendServer()),
                instance(message.getInstance()),
                new FencingToken(message.getSenderToken()));
    }

    private static HomeAssignment home(DomainRange message) {
        return new HomeAssignment(
                new KeyRange(message.getFirst(), message.getLast()), new FailureDomainId(message.getFailureDomain()));
    }

    private static Map<InstanceId, Long> permitAges(Map<String, Long> message) {
        Map<InstanceId, Long> ages = new HashMap<>();
        message.forEach((member, age) -> ages.put(new InstanceId(member), age));
        return ages;
    }

    private static Optional<InstanceId> instance(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(new InstanceId(text));
    }

    private static Set<InstanceId> instances(List<String> texts) {
        Set<InstanceId> instances = new LinkedHashSet<>();
        texts.forEach(text -> instances.add(new InstanceId(text)));
        return instances;
    }
}
