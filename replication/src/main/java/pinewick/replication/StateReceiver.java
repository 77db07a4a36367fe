package pinewick.replication;

import java.util.Optional;
import java.util.function.Function;
import pinewick.model.SocketAddress;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Step;
import pinewick.replication.ReplicationMessages.Install;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.Retag;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.StateResult;

/** Takes states from a primary: on disk first, then confirmed; nothing under a number below the promised one. */
final class StateReceiver {
    private final Context context;

    StateReceiver(Context context) {
        this.context = context;
    }

    void onRetag(SocketAddress sender, Retag message) {
        receive(
                new Delivery(sender, message.request(), message.number(), message.tag()),
                held -> held.tag().equals(message.base())
                        ? Optional.of(new Received(held.withTag(message.tag()), Optional.empty()))
                        : Optional.empty());
    }

    void onInstall(SocketAddress sender, Install message) {
        receive(
                new Delivery(sender, message.request(), message.number(), message.tag()),
                held -> Optional.of(new Received(
                        ConfigurationState.fromBytes(message.tag(), message.document(), message.changes()),
                        Optional.empty())));
    }

    void onReplicate(SocketAddress sender, Replicate message) {
        Delivery delivery = new Delivery(sender, message.request(), message.number(), message.tag());
        receive(delivery, held -> {
            if (!held.tag().next().equals(message.tag())) {
                return Optional.empty();
            }
            StoredChange change = new StoredChange(message.delta(), message.key());
            ConfigurationState changed = held.apply(message.tag(), change.delta(), change.key());
            return Optional.of(new Received(changed, Optional.of(change)));
        });
    }

    /** By which question a state came, and what it claims to be. */
    private record Delivery(SocketAddress sender, RequestId request, EpochNumber number, StateTag tag) {}

    private record Received(ConfigurationState state, Optional<StoredChange> change) {}

    private void receive(Delivery delivery, Function<ConfigurationState, Optional<Received>> change) {
        DurableState durable = context.durable();
        EpochNumber number = delivery.number;
        durable.submit(
                () -> {
                    if (!honours(number) || holds(delivery.tag)) {
                        return Optional.empty();
                    }
                    return change.apply(durable.state())
                            .map(received -> new Step(number, durable.accepted(), received.state, received.change));
                },
                outcome -> context.peers().send(delivery.sender, reply(delivery, outcome)));
    }

    private StateReply reply(Delivery delivery, Outcome outcome) {
        DurableState durable = context.durable();
        StateResult result = StateResult.MISFIT;
        if (outcome == Outcome.FAILED) {
            result = StateResult.DISK_FAILED;
        } else if (honours(delivery.number) && holds(delivery.tag)) {
            result = StateResult.HELD;
        }
        return new StateReply(
                delivery.request,
                delivery.number,
                durable.identity(),
                result,
                durable.promised(),
                durable.state().tag());
    }

    private boolean honours(EpochNumber number) {
        EpochNumber promised = context.durable().promised();
        return promised.equals(number) || promised.counter() < number.counter();
    }

    private boolean holds(StateTag tag) {
        StateTag held = context.durable().state().tag();
        return held.epoch() == tag.epoch() && held.compareTo(tag) >= 0;
    }
}
