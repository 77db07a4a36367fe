package pinewick.replication;

import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Status;

/**
 * Requests the {@link Status} of the other controllers while this process has no contact with a primary, and answers
 * their requests. Control loop only.
 */
final class StatusExchange {
    private final ReplicationContext context;
    private final PrimaryRole primaryRole;
    private final EpochProposer proposer;
    private final Election election;
    private final PrimaryLocator primaryLocator;
    private final StaleDiskCheck staleDiskCheck;

    StatusExchange(
            ReplicationContext context,
            PrimaryRole primaryRole,
            EpochProposer proposer,
            Election election,
            PrimaryLocator primaryLocator,
            StaleDiskCheck staleDiskCheck) {
        this.context = context;
        this.primaryRole = primaryRole;
        this.proposer = proposer;
        this.election = election;
        this.primaryLocator = primaryLocator;
        this.staleDiskCheck = staleDiskCheck;
    }

    /** Sends a status request to every known controller, if one is due. */
    void requestStatus() {
        if (primaryRole.isLeading() || proposer.isProposing()) {
            return;
        }
        EpochRecord accepted = context.durable().accepted();
        election.nextStatusRequest().ifPresent(request -> context.peers()
                .send(context.peers().allAddresses(accepted), status(request, true)));
    }

    void onStatus(SocketAddress sender, Status status) {
        context.peers().recordAddress(status.self().identity(), sender);
        staleDiskCheck.onRecord(status.accepted());
        if (election.reportsPrimaryNotLeading(status)) {
            election.onPrimaryNotLeading();
            primaryLocator.onPrimaryNotLeading();
        }
        election.requestSentMs(status).ifPresent(sentMs -> {
            election.onStatusReply(status);
            primaryLocator.onHint(status.primary(), sentMs);
            recordMembers(status.accepted());
        });
        if (status.replyRequested()) {
            context.peers().send(sender, status(status.request(), false));
            primaryRole.onStatus(status);
        }
    }

    /**
     * Learns the members from the record of another controller, and asks new ones for their status at once. Thus a
     * process whose seeds are all lost finds the primary through any controller that it reaches.
     */
    private void recordMembers(EpochRecord record) {
        long added =
                record.members().stream().filter(context.peers()::recordMember).count();
        if (added > 0) {
            election.requestStatusSoon();
            requestStatus();
        }
    }

    /** The status of this process. */
    Status status(RequestId request, boolean replyRequested) {
        DurableState durable = context.durable();
        boolean isLeading = primaryRole.isRecentlyConfirmed();
        return new Status(
                request,
                context.self(),
                durable.promised(),
                durable.accepted(),
                durable.state().version(),
                isLeading,
                primaryRole.isLeading() ? isLeading : election.hasPrimaryContact(),
                isLeading ? primaryRole.hint() : primaryLocator.hint(),
                replyRequested);
    }
}
