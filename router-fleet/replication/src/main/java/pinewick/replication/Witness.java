package pinewick.replication;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import pinewick.model.SocketAddress;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.DurableState.Update;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.Rejection;

/**
 * The acceptor and learner of Paxos for epoch records: promises numbers, accepts records, and learns which are chosen.
 * A promise or an acceptance is on disk before its reply is sent. Control loop only.
 */
final class Witness {
    private final ReplicationContext context;
    private final BooleanSupplier hasPrimaryContact;
    private final BooleanSupplier shuttingDown;
    private EpochNumber recordBeingStored = EpochNumber.NONE;

    /**
     * @param hasPrimaryContact whether this process is primary or had recent contact with one
     * @param shuttingDown whether this process is shutting down
     */
    Witness(ReplicationContext context, BooleanSupplier hasPrimaryContact, BooleanSupplier shuttingDown) {
        this.context = context;
        this.hasPrimaryContact = hasPrimaryContact;
        this.shuttingDown = shuttingDown;
    }

    /**
     * Writes the promise to disk, then replies. While there is contact with a primary, only that primary or the
     * successor that it named may propose: its lease relies on this, and it keeps a process that was cut off from
     * disrupting the primary.
     */
    void onPrepare(SocketAddress sender, Prepare prepare) {
        DurableState durable = context.durable();
        EpochNumber number = prepare.number();
        boolean fromPrimary = number.proposer().equals(durable.accepted().primary());
        if (hasPrimaryContact.getAsBoolean() && !prepare.requestedByPrimary() && !fromPrimary) {
            reject(sender, prepare.request(), number);
            return;
        }
        durable.submit(
                () -> number.counter() > durable.promised().counter()
                        ? Optional.of(durable.withPromise(number))
                        : Optional.empty(),
                outcome -> replyToPrepare(sender, prepare, outcome));
    }

    private void replyToPrepare(SocketAddress sender, Prepare prepare, Outcome outcome) {
        EpochNumber number = prepare.number();
        DurableState durable = context.durable();
        if (outcome != Outcome.FAILED && durable.promised().equals(number)) {
            Promise promise = new Promise(
                    prepare.request(),
                    number,
                    context.self(),
                    durable.accepted(),
                    durable.state().version(),
                    shuttingDown.getAsBoolean());
            context.peers().send(sender, promise);
        } else {
            reject(sender, prepare.request(), number);
        }
    }

    /** Writes the accepted record to disk, then replies. */
    void onAccept(SocketAddress sender, Accept accept) {
        DurableState durable = context.durable();
        EpochRecord record = accept.record();
        durable.submit(() -> accept(record), outcome -> replyToAccept(sender, accept.request(), record.number()));
    }

    private Optional<Update> accept(EpochRecord record) {
        DurableState durable = context.durable();
        EpochNumber promised = durable.promised();
        boolean isAllowed = promised.equals(record.number())
                || promised.counter() < record.number().counter();
        if (!isAllowed || durable.accepted().number().equals(record.number())) {
            return Optional.empty();
        }
        return Optional.of(new Update(record.number(), record, durable.state(), Optional.empty()));
    }

    private void replyToAccept(SocketAddress sender, RequestId request, EpochNumber number) {
        DurableState durable = context.durable();
        if (durable.accepted().number().equals(number)) {
            context.peers().send(sender, new Accepted(request, number, durable.identity()));
        } else {
            reject(sender, request, number);
        }
    }

    /**
     * Stores a chosen record, unless a higher number was promised.
     *
     * @param onStored run once the record is on disk; not run if nothing had to be written
     */
    void onRecordChosen(RecordChosen chosen, Runnable onStored) {
        EpochRecord record = chosen.record().withoutPreviousMembers();
        if (recordBeingStored.equals(record.number())) {
            return;
        }
        DurableState durable = context.durable();
        recordBeingStored = record.number();
        durable.submit(() -> storeChosen(record), outcome -> {
            recordBeingStored = EpochNumber.NONE;
            if (outcome == Outcome.WRITTEN) {
                onStored.run();
            }
        });
    }

    private Optional<Update> storeChosen(EpochRecord record) {
        DurableState durable = context.durable();
        EpochRecord accepted = durable.accepted();
        boolean isNewer = record.number().isAfter(accepted.number());
        boolean endsJointConsensus = record.number().equals(accepted.number()) && !accepted.hasSingleQuorum();
        if (durable.promised().isAfter(record.number()) || !(isNewer || endsJointConsensus)) {
            return Optional.empty();
        }
        return Optional.of(new Update(record.number(), record, durable.state(), Optional.empty()));
    }

    private void reject(SocketAddress peer, RequestId request, EpochNumber number) {
        context.peers()
                .send(
                        peer,
                        new Rejection(
                                request,
                                number,
                                context.durable().identity(),
                                context.durable().promised()));
    }
}
