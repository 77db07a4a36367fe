package pinewick.emulator.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.EpochRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.Rejection;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.ShutdownPermitted;
import pinewick.replication.RequestId;
import pinewick.replication.StableWrite;
import pinewick.replication.StateVersion;
import pinewick.replication.StoredHead;
import pinewick.replication.StoredState;

/** Mutations of the rules for a new epoch, a returning store and a planned shutdown. */
final class EpochMutations {
    private EpochMutations() {}

    /** The primary permits a process to exit as soon as it learns that the process is shutting down. */
    static final class PermitsShutdownAtOnce extends Mutation {
        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof HeartbeatReply reply && reply.shuttingDown()) {
                network.forge(to, from, new ShutdownPermitted(reply.promised()));
            }
            return message;
        }
    }

    /** A record is announced as chosen while it is only proposed. */
    static final class AnnouncesBeforeAcceptance extends Mutation {
        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Accept accept) {
                network.send(from, to, new RecordChosen(accept.record()));
            }
            return message;
        }
    }

    /** A witness accepts a record although it has promised a higher number. */
    static final class AcceptsAfterHigherPromise extends Mutation {
        private final Map<RequestId, Accept> acceptRequests = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Accept accept) {
                acceptRequests.put(accept.request(), accept);
            }
            if (message instanceof Rejection rejection && acceptRequests.containsKey(rejection.request())) {
                return new Accepted(rejection.request(), rejection.number(), rejection.identity());
            }
            return message;
        }
    }

    /** A store that lacks changes is instructed to relabel its own state as the newest one. */
    static final class RelabelsAnyState extends Mutation {
        private final Map<SocketAddress, StateVersion> versions = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof HeartbeatReply reply) {
                versions.put(from, reply.stateVersion());
            }
            StateVersion ownVersion = versions.get(to);
            if (message instanceof InstallSnapshot install && ownVersion != null) {
                return new RelabelState(install.request(), install.number(), ownVersion, install.stateVersion());
            }
            return message;
        }
    }

    /** A witness that restarts remembers only the first record that it accepted. */
    static final class ForgetsAcceptedRecords extends Mutation {
        private final Map<SimulatedDisk, EpochRecord> first = new HashMap<>();

        @Override
        StableWrite onWrite(SimulatedDisk disk, StableWrite write) {
            first.putIfAbsent(disk, write.head().accepted());
            return write;
        }

        @Override
        LoadedState onLoaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            EpochRecord firstAccepted = first.get(disk);
            if (loaded.stored().isEmpty() || firstAccepted == null) {
                return loaded;
            }
            StoredState stored = loaded.stored().get();
            StoredHead head = new StoredHead(
                    stored.head().identity(),
                    stored.head().promised(),
                    firstAccepted,
                    stored.head().stateVersion());
            return new LoadedState(
                    Optional.of(new StoredState(head, stored.snapshot(), stored.changes())), loaded.damaged());
        }
    }

    /** A store that returns is sent an old document under the newest version. */
    static final class InstallsAnOldDocument extends Mutation {
        private Optional<InstallSnapshot> first = Optional.empty();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (!(message instanceof InstallSnapshot install)) {
                return message;
            }
            InstallSnapshot old = first.orElse(install);
            first = Optional.of(old);
            return new InstallSnapshot(
                    install.request(), install.number(), install.stateVersion(), old.document(), old.acceptedChanges());
        }
    }
}
