package pinewick.emulator.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.LoadedState;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.Status;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableWrite;
import pinewick.replication.StateVersion;
import pinewick.replication.StoredHead;
import pinewick.replication.StoredSnapshot;
import pinewick.replication.StoredState;

/** Mutations of the disk and of the settings of a process. */
final class DiskMutations {
    private static final byte[] EMPTY = {};

    private DiskMutations() {}

    /**
     * A store whose loss of its disk goes unnoticed: messages of others that would make it reset to an empty store with
     * another identity are altered.
     */
    private abstract static class UnnoticedWipe extends Mutation {
        private final Set<SocketAddress> processes = new HashSet<>();

        @Override
        LoadedState onLoaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            if (disk.headBeforeWipe() != null) {
                processes.add(process);
            }
            return loaded;
        }

        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            if (!processes.contains(to)) {
                return message;
            }
            if (message instanceof RecordChosen) {
                return null;
            }
            if (message instanceof Heartbeat heartbeat) {
                return new Heartbeat(
                        heartbeat.request(), heartbeat.number(), StateVersion.NONE, heartbeat.operatorApi());
            }
            if (message instanceof Status status) {
                return withoutRecord(status);
            }
            return message;
        }

        private static Status withoutRecord(Status status) {
            return new Status(
                    status.request(),
                    status.self(),
                    status.promised(),
                    EpochRecord.NONE,
                    status.stateVersion(),
                    status.leading(),
                    status.hasPrimaryContact(),
                    status.primary(),
                    status.replyRequested());
        }
    }

    /** A store that lost its disk votes as if it still had it. */
    static final class FoundsAfterWipe extends UnnoticedWipe {
        @Override
        boolean foundsAfterWipe() {
            return true;
        }
    }

    /** A store that lost its disk continues with its old identity. */
    static final class ReusesIdentity extends UnnoticedWipe {
        @Override
        LoadedState onLoaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            super.onLoaded(process, disk, loaded);
            if (loaded.stored().isPresent() || disk.headBeforeWipe() == null) {
                return loaded;
            }
            StoredHead head = new StoredHead(
                    disk.headBeforeWipe().identity(), EpochNumber.NONE, EpochRecord.NONE, StateVersion.NONE);
            byte[] empty = ConfigurationChecks.writeDelta(
                    ConfigurationDelta.between(ConfigurationDocument.EMPTY, ConfigurationDocument.EMPTY));
            StoredState stored = new StoredState(head, new StoredSnapshot(empty, EMPTY), List.of());
            return new LoadedState(Optional.of(stored), false);
        }
    }

    /** A restart loses the removals of replicas. */
    static final class LosesRemovals extends Mutation {
        @Override
        List<ReplicaRecord> onRemovalsLoaded(List<ReplicaRecord> removals) {
            return List.of();
        }
    }

    /** Writes are confirmed before they are durable. */
    static final class ConfirmsBeforeWriting extends Mutation {
        @Override
        boolean confirmsBeforeWriting() {
            return true;
        }
    }

    /** A witness loses its promise at a restart. */
    static final class LosesPromise extends Mutation {
        @Override
        LoadedState onLoaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            return loaded.stored().map(LosesPromise::withoutPromise).orElse(loaded);
        }

        private static LoadedState withoutPromise(StoredState stored) {
            StoredHead head = stored.head();
            StoredHead altered =
                    new StoredHead(head.identity(), EpochNumber.FOUNDING, head.accepted(), head.stateVersion());
            return new LoadedState(Optional.of(new StoredState(altered, stored.snapshot(), stored.changes())), false);
        }
    }

    /** A snapshot loses the last change. */
    static final class SnapshotLosesLastChange extends Mutation {
        @Override
        StableWrite onWrite(SimulatedDisk disk, StableWrite write) {
            boolean isSnapshot = write.content() instanceof StableWrite.Replaced
                    && disk.hasChangesOf(write.head().stateVersion().epoch());
            return isSnapshot ? new StableWrite(write.head(), new StableWrite.Unchanged()) : write;
        }
    }

    /** A snapshot lacks the accepted changes. */
    static final class SnapshotLosesAcceptedChanges extends Mutation {
        @Override
        StableWrite onWrite(SimulatedDisk disk, StableWrite write) {
            if (write.content() instanceof StableWrite.Replaced replaced) {
                StoredSnapshot altered = new StoredSnapshot(replaced.snapshot().document(), EMPTY);
                return new StableWrite(write.head(), new StableWrite.Replaced(altered));
            }
            return write;
        }
    }

    /** The primary acknowledges a change that is on fewer than f + 1 stores. */
    static final class NeedsOneStore extends Mutation {
        @Override
        ReplicationSettings settings(ReplicationSettings configured) {
            return new ReplicationSettings(
                    configured.address(),
                    configured.operatorApi(),
                    configured.seeds(),
                    configured.firstStart(),
                    0,
                    configured.ackMs(),
                    configured.leaseMs());
        }
    }

    /** A new primary uses the lease before the previous lease has expired. */
    static final class SkipsLeaseWait extends Mutation {
        private static final int NO_WAIT_MS = -800;

        @Override
        ReplicationSettings settings(ReplicationSettings configured) {
            return new ReplicationSettings(
                    configured.address(),
                    configured.operatorApi(),
                    configured.seeds(),
                    configured.firstStart(),
                    configured.toleratedMachines(),
                    configured.ackMs(),
                    NO_WAIT_MS);
        }
    }

    /** All epochs use one fencing token. */
    static final class ReusesToken extends Mutation {
        @Override
        Optional<Long> leadingEpoch(ControllerProcess controller, Optional<Long> epoch) {
            return epoch.map(actual -> 1L);
        }
    }

    /** A process shuts down before it is detached. */
    static final class ShutsDownAtOnce extends Mutation {
        @Override
        boolean isDetached(boolean actual) {
            return true;
        }
    }
}
