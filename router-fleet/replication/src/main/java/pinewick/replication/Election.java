package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import pinewick.replication.ReplicationMessages.Status;

/**
 * The election timer of a process that is not primary, and the statuses that other controllers reported while it had no
 * contact with a primary. An election is due only when a quorum has no contact with a primary either. The timers of
 * in-sync stores are staggered, so that their proposals rarely collide; a failed proposal is followed by an exponential
 * backoff. Control loop only.
 */
final class Election {
    /** Contact with a primary counts for this long; meanwhile a witness rejects other proposers. */
    private static final double PRIMARY_CONTACT_MS = 450;

    /**
     * Election timeout: the shortest time without contact to the primary after which another process starts an
     * election.
     */
    private static final double ELECTION_TIMEOUT_MS = 600;

    private static final double MAX_JITTER_MS = 100;

    /** Interval between the election timers of successive in-sync stores. */
    private static final double STAGGER_INTERVAL_MS = 120;

    /** Delay of the election after the primary itself reported that it does not lead. */
    private static final double NOT_LEADING_ELECTION_DELAY_MS = 150;

    /**
     * How long a proposer that got a promise has, before this process starts an election, to get its record chosen.
     */
    private static final double GRANTED_VOTE_MS = 700;

    /** The longest backoff after a failed proposal. */
    private static final double MAX_BACKOFF_MS = 1_200;

    private static final double STATUS_REQUEST_INTERVAL_MS = 200;

    /** How long a reported status stays valid. */
    private static final double STATUS_VALID_MS = 500;

    private record StatusReply(Status status, double receivedMs) {}

    private record StatusRequest(RequestId request, double sentMs, double sentSteadyMs) {}

    private final ReplicationContext context;
    private final Map<String, StatusReply> statusByIdentity = new HashMap<>();
    private final Deque<StatusRequest> sentRequests = new ArrayDeque<>();
    /**
     * The last contact with a primary that still counts: reset when the primary resigns or reports that it does not
     * lead.
     */
    private double contactMs = Double.NEGATIVE_INFINITY;

    private double lastContactMs;
    private double electionDueMs;
    private double backoffMs = MAX_JITTER_MS;
    private double statusRequestedMs = Double.NEGATIVE_INFINITY;

    Election(ReplicationContext context) {
        this.context = context;
    }

    /**
     * Restarts the timer without contact to a primary: this process has started or stepped down, or the primary has
     * resigned.
     */
    void restart(double delayMs) {
        contactMs = Double.NEGATIVE_INFINITY;
        statusByIdentity.clear();
        statusRequestedMs = Double.NEGATIVE_INFINITY;
        resetTimer(delayMs);
    }

    /** There was contact with the primary. */
    void onPrimaryContact() {
        contactMs = context.activeMs();
        lastContactMs = contactMs;
        backoffMs = MAX_JITTER_MS;
        statusByIdentity.clear();
        resetTimer(ELECTION_TIMEOUT_MS);
    }

    /** This process is voting for another proposer, by a promise or an acceptance, and gives it time to finish. */
    void onVoteGranted() {
        electionDueMs = Math.max(electionDueMs, context.activeMs() + GRANTED_VOTE_MS + jitterMs());
    }

    /** The primary has resigned. */
    void onPrimaryResigned() {
        restart(0);
    }

    /** A proposal of this process failed. */
    void onElectionLost() {
        statusByIdentity.clear();
        statusRequestedMs = Double.NEGATIVE_INFINITY;
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        electionDueMs = Math.max(
                electionDueMs, context.activeMs() + backoffMs * context.random().nextDouble());
    }

    /** When there was contact with the primary last, {@link ActiveClock#activeMs}. */
    double lastContactMs() {
        return lastContactMs;
    }

    boolean hasPrimaryContact() {
        return context.activeMs() - contactMs < PRIMARY_CONTACT_MS;
    }

    /** The id of the status request to send to the other controllers now; empty if none is due. */
    Optional<RequestId> nextStatusRequest() {
        double now = context.activeMs();
        if (hasPrimaryContact() || now - statusRequestedMs < STATUS_REQUEST_INTERVAL_MS) {
            return Optional.empty();
        }
        statusRequestedMs = now;
        RequestId request = context.requests().next();
        sentRequests.add(new StatusRequest(request, now, context.clock().steadyMs()));
        return Optional.of(request);
    }

    /** When the request that a status answers was sent, steady time; empty if it was not sent recently. */
    OptionalDouble requestSentMs(Status status) {
        sentRequests.removeIf(request -> context.activeMs() - request.sentMs > STATUS_VALID_MS);
        return sentRequests.stream()
                .filter(request -> !status.replyRequested() && request.request.equals(status.request()))
                .mapToDouble(StatusRequest::sentSteadyMs)
                .findFirst();
    }

    /** Makes the next status request due at once, as a further controller became known. */
    void requestStatusSoon() {
        statusRequestedMs = Double.NEGATIVE_INFINITY;
    }

    /** A status that answers a request of this process. */
    void onStatusReply(Status status) {
        statusByIdentity.put(status.self().identity(), new StatusReply(status, context.activeMs()));
    }

    /**
     * The primary itself reports that it does not lead at present: contact with it no longer counts, and the election
     * is due soon.
     */
    void onPrimaryNotLeading() {
        if (hasPrimaryContact()) {
            contactMs = Double.NEGATIVE_INFINITY;
            electionDueMs = Math.min(electionDueMs, context.activeMs() + NOT_LEADING_ELECTION_DELAY_MS);
        }
    }

    /** Whether the status is from the primary of the newest record accepted here, and reports that it does not lead. */
    boolean reportsPrimaryNotLeading(Status status) {
        EpochRecord accepted = context.durable().accepted();
        return status.self().identity().equals(accepted.primary()) && !status.leading();
    }

    /**
     * Whether this process should start an election now: its timer has expired, a quorum replied, none of the replies
     * reports contact with a primary, and this store is in sync.
     */
    boolean isDue() {
        double now = context.activeMs();
        if (now < electionDueMs || hasPrimaryContact()) {
            return false;
        }
        statusByIdentity.values().removeIf(reply -> now - reply.receivedMs > STATUS_VALID_MS);
        if (statusByIdentity.values().stream().anyMatch(reply -> reply.status.hasPrimaryContact())) {
            return false;
        }
        Set<String> reachable = new HashSet<>(statusByIdentity.keySet());
        reachable.add(context.durable().identity());
        EpochRecord highest = highestKnown();
        return highest.hasQuorum(reachable)
                && highest.inSync().contains(context.durable().identity());
    }

    /** A counter higher than every promised one that is known here. */
    long nextCounter() {
        long highest = context.durable().promised().counter();
        for (StatusReply reply : statusByIdentity.values()) {
            highest = Math.max(highest, reply.status.promised().counter());
        }
        return highest + 1;
    }

    private EpochRecord highestKnown() {
        EpochRecord own = context.durable().accepted();
        Comparator<EpochRecord> order =
                Comparator.comparing(EpochRecord::number).thenComparing(EpochRecord::hasSingleQuorum);
        return statusByIdentity.values().stream()
                .map(reply -> reply.status.accepted())
                .filter(record -> order.compare(record, own) > 0)
                .max(order)
                .orElse(own);
    }

    private void resetTimer(double delayMs) {
        EpochRecord accepted = context.durable().accepted();
        int position = Math.max(0, accepted.inSync().indexOf(context.durable().identity()));
        electionDueMs = context.activeMs() + delayMs + position * STAGGER_INTERVAL_MS + jitterMs() / 2;
    }

    private double jitterMs() {
        return MAX_JITTER_MS * context.random().nextDouble();
    }
}
