package pinewick.replication;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import pinewick.model.SocketAddress;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Step;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Established;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Refusal;

/** Keeps the epoch record: promises numbers, accepts records, and learns which ones stand. */
final class Witness {
    private final Context context;
    private final BooleanSupplier hearsPrimary;
    private final BooleanSupplier leaving;
    private EpochNumber learning = EpochNumber.NONE;

    /**
     * @param hearsPrimary whether this process heard a primary lately or is one
     * @param leaving whether this process is about to end
     */
    Witness(Context context, BooleanSupplier hearsPrimary, BooleanSupplier leaving) {
        this.context = context;
        this.hearsPrimary = hearsPrimary;
        this.leaving = leaving;
    }

    /** Promises on disk, then says so. While a primary is heard, only it or one it asked to may take over. */
    void onPrepare(SocketAddress sender, Prepare prepare) {
        DurableState durable = context.durable();
        EpochNumber number = prepare.number();
        boolean fromPrimary = number.proposer().equals(durable.accepted().primary());
        if (hearsPrimary.getAsBoolean() && !prepare.handedOver() && !fromPrimary) {
            refuse(sender, prepare.request(), number);
            return;
        }
        durable.submit(
                () -> number.counter() > durable.promised().counter()
                        ? Optional.of(durable.promising(number))
                        : Optional.empty(),
                outcome -> answerPrepare(sender, prepare, outcome));
    }

    private void answerPrepare(SocketAddress sender, Prepare prepare, Outcome outcome) {
        EpochNumber number = prepare.number();
        DurableState durable = context.durable();
        if (outcome != Outcome.FAILED && durable.promised().equals(number)) {
            Promise promise = new Promise(
                    prepare.request(),
                    number,
                    context.self(),
                    durable.accepted(),
                    durable.state().tag(),
                    leaving.getAsBoolean());
            context.peers().send(sender, promise);
        } else {
            refuse(sender, prepare.request(), number);
        }
    }

    /** Accepts on disk, then says so. */
    void onAccept(SocketAddress sender, Accept accept) {
        DurableState durable = context.durable();
        EpochRecord record = accept.record();
        durable.submit(() -> accept(record), outcome -> answerAccept(sender, accept.request(), record.number()));
    }

    private Optional<Step> accept(EpochRecord record) {
        DurableState durable = context.durable();
        EpochNumber promised = durable.promised();
        boolean allowed = promised.equals(record.number())
                || promised.counter() < record.number().counter();
        if (!allowed || durable.accepted().number().equals(record.number())) {
            return Optional.empty();
        }
        return Optional.of(new Step(record.number(), record, durable.state(), Optional.empty()));
    }

    private void answerAccept(SocketAddress sender, RequestId request, EpochNumber number) {
        DurableState durable = context.durable();
        if (durable.accepted().number().equals(number)) {
            context.peers().send(sender, new Accepted(request, number, durable.identity()));
        } else {
            refuse(sender, request, number);
        }
    }

    /**
     * A record that stands is taken over where nothing higher was promised.
     *
     * @param learnt run once it is on disk, unless it was there before
     */
    void onEstablished(Established established, Runnable learnt) {
        EpochRecord record = established.record().settled();
        if (learning.equals(record.number())) {
            return;
        }
        DurableState durable = context.durable();
        learning = record.number();
        durable.submit(() -> learn(record), outcome -> {
            learning = EpochNumber.NONE;
            if (outcome == Outcome.WRITTEN) {
                learnt.run();
            }
        });
    }

    private Optional<Step> learn(EpochRecord record) {
        DurableState durable = context.durable();
        EpochRecord accepted = durable.accepted();
        boolean newer = record.number().isAfter(accepted.number());
        boolean settles = record.number().equals(accepted.number()) && !accepted.isSettled();
        if (durable.promised().isAfter(record.number()) || !(newer || settles)) {
            return Optional.empty();
        }
        return Optional.of(new Step(record.number(), record, durable.state(), Optional.empty()));
    }

    private void refuse(SocketAddress peer, RequestId request, EpochNumber number) {
        context.peers()
                .send(
                        peer,
                        new Refusal(
                                request,
                                number,
                                context.durable().identity(),
                                context.durable().promised()));
    }
}
