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

/** Watches the primary from a process that is none, and tells when this one should stand for election. */
final class Election {
    /** A primary heard within this time hinders others from taking over. */
    private static final double PRIMARY_CONTACT_MS = 450;

    /** The shortest silence of the primary after which another process takes over. */
    private static final double ELECTION_TIMEOUT_MS = 600;

    private static final double MAX_JITTER_MS = 100;

    /** The in-sync stores stand for election one after the other, this far apart. */
    private static final double STAGGER_INTERVAL_MS = 120;

    private static final double RETRY_AFTER_DENIAL_MS = 150;

    /** Whoever got a promise has this long to win. */
    private static final double GRANTED_VOTE_MS = 700;

    /** Lost ballots are followed by pauses that grow up to this. */
    private static final double MAX_BACKOFF_MS = 1_200;

    private static final double STATUS_REQUEST_INTERVAL_MS = 200;

    /** An answer counts for this long. */
    private static final double STATUS_VALID_MS = 500;

    private record StatusReply(Status status, double receivedMs) {}

    private record StatusRequest(RequestId request, double sentMs, double sentSteadyMs) {}

    private final ReplicationContext context;
    private final Map<String, StatusReply> statusByIdentity = new HashMap<>();
    private final Deque<StatusRequest> sentRequests = new ArrayDeque<>();
    private double contactMs = Double.NEGATIVE_INFINITY;
    private double lastContactMs;
    private double electionDueMs;
    private double backoffMs = MAX_JITTER_MS;
    private double statusRequestedMs = Double.NEGATIVE_INFINITY;

    Election(ReplicationContext context) {
        this.context = context;
    }

    /** This process has begun, or leads no more. */
    void restart(double delayMs) {
        contactMs = Double.NEGATIVE_INFINITY;
        statusByIdentity.clear();
        statusRequestedMs = Double.NEGATIVE_INFINITY;
        postpone(delayMs);
    }

    /** The primary showed itself. */
    void onPrimaryContact() {
        contactMs = context.activeMs();
        lastContactMs = contactMs;
        backoffMs = MAX_JITTER_MS;
        statusByIdentity.clear();
        postpone(ELECTION_TIMEOUT_MS);
    }

    /** Another process's ballot was granted: it gets the time to win it. */
    void onVoteGranted() {
        electionDueMs = Math.max(electionDueMs, context.activeMs() + GRANTED_VOTE_MS + jitterMs());
    }

    /** The primary leads no more. */
    void onPrimaryGone() {
        restart(0);
    }

    /** An own ballot was lost. */
    void onElectionLost() {
        statusByIdentity.clear();
        statusRequestedMs = Double.NEGATIVE_INFINITY;
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        electionDueMs = Math.max(
                electionDueMs, context.activeMs() + backoffMs * context.random().nextDouble());
    }

    /** When the primary showed itself last, {@link ActiveClock#activeMs}. */
    double lastContactMs() {
        return lastContactMs;
    }

    boolean hasPrimaryContact() {
        return context.activeMs() - contactMs < PRIMARY_CONTACT_MS;
    }

    /** The question under which the others are to be asked now what they know, if they are. */
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

    /** When the question was asked, steady time, that a status answers; empty if none was asked lately. */
    OptionalDouble requestSentMs(Status status) {
        sentRequests.removeIf(request -> context.activeMs() - request.sentMs > STATUS_VALID_MS);
        return sentRequests.stream()
                .filter(request -> !status.replyRequested() && request.request.equals(status.request()))
                .mapToDouble(StatusRequest::sentSteadyMs)
                .findFirst();
    }

    /** There is somebody new to ask. */
    void requestStatusSoon() {
        statusRequestedMs = Double.NEGATIVE_INFINITY;
    }

    /** What another process knows, in answer to a question of this one. */
    void onStatusReply(Status status) {
        statusByIdentity.put(status.self().identity(), new StatusReply(status, context.activeMs()));
    }

    /** The primary says itself that it does not lead. */
    void onPrimaryDenial() {
        if (hasPrimaryContact()) {
            contactMs = Double.NEGATIVE_INFINITY;
            electionDueMs = Math.min(electionDueMs, context.activeMs() + RETRY_AFTER_DENIAL_MS);
        }
    }

    /** Whether the primary of the newest record known here says that it does not lead. */
    boolean isPrimaryDenial(Status status) {
        EpochRecord accepted = context.durable().accepted();
        return status.self().identity().equals(accepted.primary()) && !status.leading();
    }

    /** Whether a quorum hears no primary, nobody else does, and this process could lead. */
    boolean isDue() {
        double now = context.activeMs();
        if (now < electionDueMs || hasPrimaryContact()) {
            return false;
        }
        statusByIdentity.values().removeIf(reply -> now - reply.receivedMs > STATUS_VALID_MS);
        if (statusByIdentity.values().stream().anyMatch(reply -> reply.status.hasPrimaryContact())) {
            return false;
        }
        Set<String> present = new HashSet<>(statusByIdentity.keySet());
        present.add(context.durable().identity());
        EpochRecord highest = highestKnown();
        return highest.hasQuorum(present)
                && highest.inSync().contains(context.durable().identity());
    }

    /** A counter above every one heard of. */
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

    private void postpone(double delayMs) {
        EpochRecord accepted = context.durable().accepted();
        int position = Math.max(0, accepted.inSync().indexOf(context.durable().identity()));
        electionDueMs = context.activeMs() + delayMs + position * STAGGER_INTERVAL_MS + jitterMs() / 2;
    }

    private double jitterMs() {
        return MAX_JITTER_MS * context.random().nextDouble();
    }
}
