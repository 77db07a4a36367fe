package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.EpochRecord;
import pinewick.replication.Member;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.ReplicationResult;
import pinewick.replication.ReplicationMessages.Status;

/** Mutations of the messages between controllers. */
final class MessageMutations {
    private static final byte[] EMPTY = {};

    private MessageMutations() {}

    /** A direction between two processes. */
    private record Link(SocketAddress from, SocketAddress to) {}

    /** An earlier promise of a store counts for every later number. */
    static final class CountsStalePromises extends Mutation {
        private final Map<Link, Promise> promises = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Promise promise) {
                promises.put(new Link(from, to), promise);
            }
            Promise old = promises.get(new Link(to, from));
            if (message instanceof Prepare prepare && old != null) {
                network.forge(
                        to,
                        from,
                        new Promise(
                                prepare.request(),
                                prepare.number(),
                                old.self(),
                                old.accepted(),
                                old.stateVersion(),
                                old.shuttingDown()));
                return null;
            }
            return message;
        }
    }

    /** An earlier acceptance of a store counts for every later record. */
    static final class CountsStaleAcceptances extends Mutation {
        private final Map<Link, Accepted> acceptances = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Accepted accepted) {
                acceptances.put(new Link(from, to), accepted);
            }
            Accepted old = acceptances.get(new Link(to, from));
            if (message instanceof Accept accept && old != null) {
                network.forge(
                        to, from, new Accepted(accept.request(), accept.record().number(), old.identity()));
                return null;
            }
            return message;
        }
    }

    /** An earlier heartbeat reply of a store counts for every later heartbeat. */
    static final class CountsStaleHeartbeatReplies extends Mutation {
        private final Map<Link, HeartbeatReply> replies = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof HeartbeatReply reply) {
                replies.put(new Link(from, to), reply);
            }
            HeartbeatReply old = replies.get(new Link(to, from));
            if (message instanceof Heartbeat heartbeat
                    && old != null
                    && old.number().equals(heartbeat.number())) {
                network.forge(to, from, renumbered(old, heartbeat));
            }
            return message;
        }
    }

    private static HeartbeatReply renumbered(HeartbeatReply reply, Heartbeat heartbeat) {
        return new HeartbeatReply(
                heartbeat.request(),
                heartbeat.number(),
                reply.self(),
                reply.promised(),
                reply.accepted(),
                reply.knowsRecordChosen(),
                reply.stateVersion(),
                reply.shuttingDown(),
                reply.diskHealthy());
    }

    /** A late heartbeat reply confirms the newest heartbeat. */
    static final class LateRepliesConfirm extends Mutation {
        private final Map<Link, Heartbeat> newest = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Heartbeat heartbeat) {
                newest.put(new Link(from, to), heartbeat);
            }
            return message;
        }

        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            Heartbeat latest = newest.get(new Link(to, from));
            if (message instanceof HeartbeatReply reply
                    && latest != null
                    && reply.number().equals(latest.number())) {
                return renumbered(reply, latest);
            }
            return message;
        }
    }

    /** An earlier replication reply of a store counts for every later state. */
    static final class CountsStaleReplicationReplies extends Mutation {
        private final Map<Link, ReplicationReply> replies = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof ReplicationReply reply && reply.result() == ReplicationResult.STORED) {
                replies.put(new Link(from, to), reply);
            }
            ReplicationReply old = replies.get(new Link(to, from));
            if (message instanceof Replicate replicate && old != null) {
                network.forge(
                        to,
                        from,
                        new ReplicationReply(
                                replicate.request(),
                                replicate.number(),
                                old.identity(),
                                ReplicationResult.STORED,
                                replicate.number(),
                                replicate.stateVersion()));
            }
            return message;
        }
    }

    /** A transferred snapshot lacks the accepted changes. */
    static final class StateTransferLosesAcceptedChanges extends Mutation {
        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            return message instanceof InstallSnapshot install
                    ? new InstallSnapshot(
                            install.request(), install.number(), install.stateVersion(), install.document(), EMPTY)
                    : message;
        }
    }

    /** The members change without the acceptance of the old ones. */
    static final class MembersWithoutJointConsensus extends Mutation {
        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Accept accept && !accept.record().hasSingleQuorum()) {
                EpochRecord record = accept.record();
                List<Member> allMembers = new ArrayList<>(record.previousMembers());
                allMembers.addAll(record.members());
                allMembers.forEach(member ->
                        network.forge(to, from, new Accepted(accept.request(), record.number(), member.identity())));
                return null;
            }
            return message;
        }
    }

    /** A store becomes a candidate for primary although it is not in sync. */
    static final class StaleStoreBecomesPrimary extends Mutation {
        private final Map<SocketAddress, String> identities = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Status status) {
                identities.put(from, status.self().identity());
            } else if (message instanceof HeartbeatReply reply) {
                identities.put(from, reply.self().identity());
            }
            return message;
        }

        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            String own = identities.get(to);
            if (own == null) {
                return message;
            }
            if (message instanceof Promise promise) {
                return new Promise(
                        promise.request(),
                        promise.number(),
                        promise.self(),
                        inSync(promise.accepted(), own),
                        promise.stateVersion(),
                        promise.shuttingDown());
            }
            if (message instanceof Status status) {
                return new Status(
                        status.request(),
                        status.self(),
                        status.promised(),
                        inSync(status.accepted(), own),
                        status.stateVersion(),
                        status.leading(),
                        status.hasPrimaryContact(),
                        status.primary(),
                        status.replyRequested());
            }
            return message;
        }

        private static EpochRecord inSync(EpochRecord record, String identity) {
            if (!record.hasMember(identity) || record.inSync().contains(identity)) {
                return record;
            }
            List<String> extended = new ArrayList<>(record.inSync());
            extended.add(identity);
            return new EpochRecord(
                    record.number(), record.primary(), extended, record.members(), record.previousMembers());
        }
    }
}
