package pinewick.emulator.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
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

/** Broken variants at the disk, and in what a process is told. */
final class DiskSabotage {
    private static final byte[] NOTHING = {};

    private DiskSabotage() {}

    /**
     * A store that lost its disk, and nothing tells it so: what the others say of it would otherwise make it start over
     * under another identity.
     */
    private abstract static class LosesUnnoticed extends Sabotage {
        private final Set<SocketAddress> processes = new HashSet<>();

        @Override
        LoadedState loaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            if (disk.headBeforeWipe() != null) {
                processes.add(process);
            }
            return loaded;
        }

        @Override
        Message received(SocketAddress from, SocketAddress to, Message message) {
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
    static final class FoundsAfterWipe extends LosesUnnoticed {
        @Override
        boolean foundsAfterWipe() {
            return true;
        }
    }

    /** A store that lost its disk goes on under its old identity. */
    static final class ReusesIdentity extends LosesUnnoticed {
        @Override
        LoadedState loaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            super.loaded(process, disk, loaded);
            if (loaded.stored().isPresent() || disk.headBeforeWipe() == null) {
                return loaded;
            }
            StoredHead head = new StoredHead(
                    disk.headBeforeWipe().identity(), EpochNumber.NONE, EpochRecord.NONE, StateVersion.NONE);
            byte[] empty = ConfigurationChecks.writeDelta(
                    ConfigurationDelta.between(ConfigurationDocument.EMPTY, ConfigurationDocument.EMPTY));
            StoredState stored = new StoredState(head, new StoredSnapshot(empty, NOTHING), List.of());
            return new LoadedState(Optional.of(stored), false);
        }
    }

    /** Writes are confirmed before they are durable. */
    static final class ConfirmsBeforeWriting extends Sabotage {
        @Override
        boolean confirmsBeforeWriting() {
            return true;
        }
    }

    /** A witness forgets at a restart what it promised. */
    static final class ForgetsPromise extends Sabotage {
        @Override
        LoadedState loaded(SocketAddress process, SimulatedDisk disk, LoadedState loaded) {
            return loaded.stored().map(ForgetsPromise::withoutPromise).orElse(loaded);
        }

        private static LoadedState withoutPromise(StoredState stored) {
            StoredHead head = stored.head();
            StoredHead forgetful =
                    new StoredHead(head.identity(), EpochNumber.FOUNDING, head.accepted(), head.stateVersion());
            return new LoadedState(Optional.of(new StoredState(forgetful, stored.snapshot(), stored.changes())), false);
        }
    }

    /** Folding the changes into a snapshot loses the last one. */
    static final class FoldingLosesLastChange extends Sabotage {
        @Override
        StableWrite written(SimulatedDisk disk, StableWrite write) {
            boolean folds = write.content() instanceof StableWrite.Replaced
                    && disk.holds(write.head().stateVersion().epoch());
            return folds ? new StableWrite(write.head(), new StableWrite.Unchanged()) : write;
        }
    }

    /** A snapshot leaves out which changes were accepted. */
    static final class SnapshotForgetsAccepted extends Sabotage {
        @Override
        StableWrite written(SimulatedDisk disk, StableWrite write) {
            if (write.content() instanceof StableWrite.Replaced replaced) {
                StoredSnapshot forgetful =
                        new StoredSnapshot(replaced.snapshot().document(), NOTHING);
                return new StableWrite(write.head(), new StableWrite.Replaced(forgetful));
            }
            return write;
        }
    }

    /** The primary acknowledges with fewer copies than losses are tolerated. */
    static final class NeedsOneCopy extends Sabotage {
        @Override
        ReplicationSettings settings(ReplicationSettings told) {
            return new ReplicationSettings(
                    told.address(),
                    told.operatorApi(),
                    told.seeds(),
                    told.firstStart(),
                    0,
                    told.ackMs(),
                    told.leaseMs());
        }
    }

    /** A new primary uses the lease before the old one's has ended. */
    static final class SkipsLeaseWait extends Sabotage {
        private static final int NO_WAIT_MS = -800;

        @Override
        ReplicationSettings settings(ReplicationSettings told) {
            return new ReplicationSettings(
                    told.address(),
                    told.operatorApi(),
                    told.seeds(),
                    told.firstStart(),
                    told.toleratedMachines(),
                    told.ackMs(),
                    NO_WAIT_MS);
        }
    }

    /** All epochs give orders under one token. */
    static final class KeepsToken extends Sabotage {
        @Override
        Optional<Long> leadingEpoch(ControllerLife controller, Optional<Long> epoch) {
            return epoch.map(real -> 1L);
        }
    }

    /** A leaving process ends before the others can do without it. */
    static final class LeavesAtOnce extends Sabotage {
        @Override
        boolean detached(boolean really) {
            return true;
        }
    }
}
