package pinewick.emulator.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.ReplicaUpdateAck;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/** Mutations of the gossip of replicas and configurations. */
final class GossipMutations {
    private GossipMutations() {}

    /** A controller acknowledges a removal that it received before it has pushed it. */
    static final class AcknowledgesRemovalsAlone extends Mutation {
        private static final double FIRST_PUSH_MS = 40;

        private record Removal(SocketAddress controller, String instanceId, ReplicaState state) {}

        private final Map<Removal, Double> firstSentMs = new HashMap<>();

        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (!(message instanceof ReplicaUpdate update) || RouterMachine.isRouter(from)) {
                return message;
            }
            boolean isEarly = update.records().stream().anyMatch(gossiped -> isEarly(network, from, gossiped.record()));
            if (update.ackId() != 0) {
                network.forge(to, from, new ReplicaUpdateAck(update.ackId()));
            }
            return isEarly || update.ackId() != 0 ? null : message;
        }

        private boolean isEarly(Network network, SocketAddress controller, ReplicaRecord record) {
            Removal removal = new Removal(controller, record.instanceId(), record.state());
            double firstMs = firstSentMs.computeIfAbsent(removal, key -> network.nowMs());
            return record.state() != ReplicaState.READY && network.nowMs() - firstMs < FIRST_PUSH_MS;
        }
    }

    /** A heartbeat after a removal reverts it. */
    static final class HeartbeatRevertsRemoval extends Mutation {
        @Override
        void onHeartbeat(ControllerProcess controller, ReplicaRecord record) {
            if (record.state() == ReplicaState.DRAINING) {
                controller.state().remove(record.instanceId());
                controller.state().merge(record.withState(ReplicaState.READY));
            }
        }
    }

    /** Routers do not receive the drain of a replica. */
    static final class RoutersMissRemovals extends Mutation {
        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            if (!RouterMachine.isRouter(to)) {
                return message;
            }
            if (message instanceof ReplicaUpdate update) {
                return new ReplicaUpdate(update.ackId(), ready(update.records()));
            }
            if (message instanceof ReplicaSnapshot snapshot) {
                return new ReplicaSnapshot(snapshot.requestId(), ready(snapshot.records()));
            }
            return message;
        }

        private static List<GossipedReplica> ready(List<GossipedReplica> records) {
            return records.stream()
                    .filter(gossiped -> gossiped.record().state() == ReplicaState.READY)
                    .toList();
        }
    }

    /** A router applies the configuration that it received last, whatever its version. */
    static final class RouterAppliesOlder extends Mutation {
        @Override
        void onRouterReceived(RouterProcess router, Message message, Consumer<Long> apply) {
            if (message instanceof ConfigurationUpdate update && update.body().length > 0) {
                apply.accept(update.version());
            }
        }
    }

    /** A router accepts configurations only from the source of its first one. */
    static final class RouterTrustsFirstSource extends Mutation {
        private final Map<SocketAddress, SocketAddress> firstSources = new HashMap<>();

        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof ConfigurationUpdate && RouterMachine.isRouter(to)) {
                SocketAddress firstSource = firstSources.computeIfAbsent(to, key -> from);
                return firstSource.equals(from) ? message : null;
            }
            return message;
        }
    }
}
