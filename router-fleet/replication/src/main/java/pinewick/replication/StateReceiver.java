package pinewick.replication;

import java.util.Optional;
import java.util.function.Function;
import pinewick.model.SocketAddress;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Update;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.ReplicationResult;

/**
 * Receives states from the primary, as a follower. A state is confirmed only when it is on disk, and is rejected if
 * this process has promised a higher epoch. Control loop only.
 */
final class StateReceiver {
    private final ReplicationContext context;

    StateReceiver(ReplicationContext context) {
        this.context = context;
    }

    void onRelabelState(SocketAddress sender, RelabelState message) {
        receive(
                new Delivery(sender, message.request(), message.number(), message.toVersion()),
                current -> current.version().equals(message.fromVersion())
                        ? Optional.of(new NewState(current.withVersion(message.toVersion()), Optional.empty()))
                        : Optional.empty());
    }

    void onInstallSnapshot(SocketAddress sender, InstallSnapshot message) {
        receive(
                new Delivery(sender, message.request(), message.number(), message.stateVersion()),
                current -> Optional.of(new NewState(
                        ConfigurationState.fromBytes(
                                message.stateVersion(), message.document(), message.acceptedChanges()),
                        Optional.empty())));
    }

    void onReplicate(SocketAddress sender, Replicate message) {
        Delivery delivery = new Delivery(sender, message.request(), message.number(), message.stateVersion());
        receive(delivery, current -> {
            if (!current.version().next().equals(message.stateVersion())) {
                return Optional.empty();
            }
            StoredChange storedChange = new StoredChange(message.delta(), message.key());
            ConfigurationState changed =
                    current.apply(message.stateVersion(), storedChange.delta(), storedChange.key());
            return Optional.of(new NewState(changed, Optional.of(storedChange)));
        });
    }

    /** The request that carries a state, with its sender, its epoch and the version of the state. */
    private record Delivery(SocketAddress sender, RequestId request, EpochNumber number, StateVersion stateVersion) {}

    private record NewState(ConfigurationState state, Optional<StoredChange> change) {}

    private void receive(Delivery delivery, Function<ConfigurationState, Optional<NewState>> transition) {
        DurableState durable = context.durable();
        EpochNumber number = delivery.number;
        durable.submit(
                () -> {
                    if (!isAcceptable(number) || isStored(delivery.stateVersion)) {
                        return Optional.empty();
                    }
                    return transition
                            .apply(durable.state())
                            .map(received -> new Update(number, durable.accepted(), received.state, received.change));
                },
                outcome -> context.peers().send(delivery.sender, reply(delivery, outcome)));
    }

    private ReplicationReply reply(Delivery delivery, Outcome outcome) {
        DurableState durable = context.durable();
        ReplicationResult result = ReplicationResult.MISMATCH;
        if (outcome == Outcome.FAILED) {
            result = ReplicationResult.DISK_FAILED;
        } else if (isAcceptable(delivery.number) && isStored(delivery.stateVersion)) {
            result = ReplicationResult.STORED;
        }
        return new ReplicationReply(
                delivery.request,
                delivery.number,
                durable.identity(),
                result,
                durable.promised(),
                durable.state().version());
    }

    private boolean isAcceptable(EpochNumber number) {
        EpochNumber promised = context.durable().promised();
        return promised.equals(number) || promised.counter() < number.counter();
    }

    private boolean isStored(StateVersion stateVersion) {
        StateVersion current = context.durable().state().version();
        return current.epoch() == stateVersion.epoch() && current.compareTo(stateVersion) >= 0;
    }
}
