package pinewick.replication;

import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Status;

/** Asks the others what they know while no primary is heard, and answers those that ask. */
final class StatusExchange {
    private final Context context;
    private final Primary primary;
    private final Proposals proposals;
    private final Election election;
    private final KnownPrimary knownPrimary;
    private final OldCopyCheck oldCopyCheck;

    StatusExchange(
            Context context,
            Primary primary,
            Proposals proposals,
            Election election,
            KnownPrimary knownPrimary,
            OldCopyCheck oldCopyCheck) {
        this.context = context;
        this.primary = primary;
        this.proposals = proposals;
        this.election = election;
        this.knownPrimary = knownPrimary;
        this.oldCopyCheck = oldCopyCheck;
    }

    /** Asks, if it is time to. */
    void askAround() {
        if (primary.leads() || proposals.isUnderWay()) {
            return;
        }
        EpochRecord accepted = context.durable().accepted();
        election.question().ifPresent(request -> context.peers()
                .send(context.peers().everywhere(accepted), status(request, true)));
    }

    void onStatus(SocketAddress sender, Status status) {
        context.peers().learn(status.self().identity(), sender);
        oldCopyCheck.onRecord(status.accepted());
        if (election.isDenial(status)) {
            election.onDenial();
            knownPrimary.denied();
        }
        election.askedMs(status).ifPresent(askedMs -> {
            election.onAnswer(status);
            knownPrimary.told(status.primary(), askedMs);
            learnMembers(status.accepted());
        });
        if (status.answerWanted()) {
            context.peers().send(sender, status(status.request(), false));
            primary.onStatus(status);
        }
    }

    /** A store whose seeds are all gone finds the primary through any controller that it reaches. */
    private void learnMembers(EpochRecord record) {
        long unknown =
                record.members().stream().filter(context.peers()::learnMember).count();
        if (unknown > 0) {
            election.askSoon();
            askAround();
        }
    }

    /** What this process knows. */
    Status status(RequestId request, boolean answerWanted) {
        DurableState durable = context.durable();
        boolean leading = primary.isConfirmedLately();
        return new Status(
                request,
                context.self(),
                durable.promised(),
                durable.accepted(),
                durable.state().tag(),
                leading,
                primary.leads() ? leading : election.hearsPrimary(),
                leading ? primary.sighting() : knownPrimary.sighting(),
                answerWanted);
    }
}
