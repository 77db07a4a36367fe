package pinewick.emulator.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetMessages.ReplicaUpdateAck;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/** Broken variants in what the fleet is told of replicas and configurations. */
final class FleetSabotage {
    private FleetSabotage() {}

    /** An announced end is acknowledged by the controller that took it, before it has told anybody. */
    static final class AcknowledgesEndsAlone extends Sabotage {
        private static final double TELLS_AFTER_MS = 40;

        private record End(SocketAddress controller, String instanceId, ReplicaState state) {}

        private final Map<End, Double> takenMs = new HashMap<>();

        @Override
        Message sent(Network network, SocketAddress from, SocketAddress to, Message message) {
            if (!(message instanceof ReplicaUpdate update) || RouterMachine.isRouter(from)) {
                return message;
            }
            boolean early = update.records().stream().anyMatch(spread -> isEarly(network, from, spread.record()));
            if (update.ackId() != 0) {
                network.forge(to, from, new ReplicaUpdateAck(update.ackId()));
            }
            return early || update.ackId() != 0 ? null : message;
        }

        private boolean isEarly(Network network, SocketAddress controller, ReplicaRecord record) {
            End end = new End(controller, record.instanceId(), record.state());
            double firstMs = takenMs.computeIfAbsent(end, key -> network.nowMs());
            return record.state() != ReplicaState.READY && network.nowMs() - firstMs < TELLS_AFTER_MS;
        }
    }

    /** A heartbeat that comes after an announced end takes it back. */
    static final class HeartbeatTakesEndBack extends Sabotage {
        @Override
        void heartbeatTaken(ControllerLife controller, ReplicaRecord record) {
            if (record.state() == ReplicaState.DRAINING) {
                controller.state().remove(record.instanceId());
                controller.state().merge(record.withState(ReplicaState.READY));
            }
        }
    }

    /** Routers are not told that a replica drains. */
    static final class RoutersMissEnds extends Sabotage {
        @Override
        Message received(SocketAddress from, SocketAddress to, Message message) {
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
                    .filter(spread -> spread.record().state() == ReplicaState.READY)
                    .toList();
        }
    }

    /** A router shows whatever configuration it was sent last. */
    static final class RouterTakesOlder extends Sabotage {
        @Override
        void routerReceived(RouterLife router, Message message, Consumer<Long> shows) {
            if (message instanceof ConfigurationUpdate update && update.body().length > 0) {
                shows.accept(update.version());
            }
        }
    }

    /** A router believes for good the one from which it had its first configuration. */
    static final class RouterBelievesFirst extends Sabotage {
        private final Map<SocketAddress, SocketAddress> first = new HashMap<>();

        @Override
        Message received(SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof ConfigurationUpdate && RouterMachine.isRouter(to)) {
                SocketAddress believed = first.computeIfAbsent(to, key -> from);
                return believed.equals(from) ? message : null;
            }
            return message;
        }
    }
}
