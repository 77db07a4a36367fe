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
    private static final double HEARD_MS = 450;

    /** The shortest silence of the primary after which another process takes over. */
    private static final double TIME_OUT_MS = 600;

    private static final double CHANCE_MS = 100;

    /** The in-sync stores stand for election one after the other, this far apart. */
    private static final double STAGGER_MS = 120;

    private static final double RETRY_MS = 150;

    /** Whoever got a promise has this long to win. */
    private static final double GRANTED_MS = 700;

    /** Lost ballots are followed by pauses that grow up to this. */
    private static final double LONGEST_PAUSE_MS = 1_200;

    private static final double ASK_MS = 200;

    /** An answer counts for this long. */
    private static final double FRESH_MS = 500;

    private record Answer(Status status, double atMs) {}

    private record Question(RequestId request, double atMs, double steadyMs) {}

    private final Context context;
    private final Map<String, Answer> answers = new HashMap<>();
    private final Deque<Question> questions = new ArrayDeque<>();
    private double heardMs = Double.NEGATIVE_INFINITY;
    private double lastHeardMs;
    private double dueMs;
    private double lostPauseMs = CHANCE_MS;
    private double askedMs = Double.NEGATIVE_INFINITY;

    Election(Context context) {
        this.context = context;
    }

    /** This process has begun, or leads no more. */
    void restart(double delayMs) {
        heardMs = Double.NEGATIVE_INFINITY;
        answers.clear();
        askedMs = Double.NEGATIVE_INFINITY;
        postpone(delayMs);
    }

    /** The primary showed itself. */
    void heard() {
        heardMs = context.activeMs();
        lastHeardMs = heardMs;
        lostPauseMs = CHANCE_MS;
        answers.clear();
        postpone(TIME_OUT_MS);
    }

    /** Another process's ballot was granted: it gets the time to win it. */
    void granted() {
        dueMs = Math.max(dueMs, context.activeMs() + GRANTED_MS + chance());
    }

    /** The primary leads no more. */
    void onPrimaryGone() {
        restart(0);
    }

    /** An own ballot was lost. */
    void onLost() {
        answers.clear();
        askedMs = Double.NEGATIVE_INFINITY;
        lostPauseMs = Math.min(LONGEST_PAUSE_MS, 2 * lostPauseMs);
        dueMs = Math.max(
                dueMs, context.activeMs() + lostPauseMs * context.random().nextDouble());
    }

    /** When the primary showed itself last, {@link ActiveClock#activeMs}. */
    double lastHeardMs() {
        return lastHeardMs;
    }

    boolean hearsPrimary() {
        return context.activeMs() - heardMs < HEARD_MS;
    }

    /** The question under which the others are to be asked now what they know, if they are. */
    Optional<RequestId> question() {
        double now = context.activeMs();
        if (hearsPrimary() || now - askedMs < ASK_MS) {
            return Optional.empty();
        }
        askedMs = now;
        RequestId request = context.requests().next();
        questions.add(new Question(request, now, context.clock().steadyMs()));
        return Optional.of(request);
    }

    /** When the question was asked, steady time, that a status answers; empty if none was asked lately. */
    OptionalDouble askedMs(Status status) {
        questions.removeIf(question -> context.activeMs() - question.atMs > FRESH_MS);
        return questions.stream()
                .filter(question -> !status.answerWanted() && question.request.equals(status.request()))
                .mapToDouble(Question::steadyMs)
                .findFirst();
    }

    /** There is somebody new to ask. */
    void askSoon() {
        askedMs = Double.NEGATIVE_INFINITY;
    }

    /** What another process knows, in answer to a question of this one. */
    void onAnswer(Status status) {
        answers.put(status.self().identity(), new Answer(status, context.activeMs()));
    }

    /** The primary says itself that it does not lead. */
    void onDenial() {
        if (hearsPrimary()) {
            heardMs = Double.NEGATIVE_INFINITY;
            dueMs = Math.min(dueMs, context.activeMs() + RETRY_MS);
        }
    }

    /** Whether the primary of the newest record known here says that it does not lead. */
    boolean isDenial(Status status) {
        EpochRecord accepted = context.durable().accepted();
        return status.self().identity().equals(accepted.primary()) && !status.leading();
    }

    /** Whether a quorum hears no primary, nobody else does, and this process could lead. */
    boolean isDue() {
        double now = context.activeMs();
        if (now < dueMs || hearsPrimary()) {
            return false;
        }
        answers.values().removeIf(answer -> now - answer.atMs > FRESH_MS);
        if (answers.values().stream().anyMatch(answer -> answer.status.hearsPrimary())) {
            return false;
        }
        Set<String> present = new HashSet<>(answers.keySet());
        present.add(context.durable().identity());
        EpochRecord highest = highestKnown();
        return highest.hasQuorum(present)
                && highest.inSync().contains(context.durable().identity());
    }

    /** A counter above every one heard of. */
    long nextCounter() {
        long highest = context.durable().promised().counter();
        for (Answer answer : answers.values()) {
            highest = Math.max(highest, answer.status.promised().counter());
        }
        return highest + 1;
    }

    private EpochRecord highestKnown() {
        EpochRecord own = context.durable().accepted();
        Comparator<EpochRecord> order =
                Comparator.comparing(EpochRecord::number).thenComparing(EpochRecord::isSettled);
        return answers.values().stream()
                .map(answer -> answer.status.accepted())
                .filter(record -> order.compare(record, own) > 0)
                .max(order)
                .orElse(own);
    }

    private void postpone(double delayMs) {
        EpochRecord accepted = context.durable().accepted();
        int place = Math.max(0, accepted.inSync().indexOf(context.durable().identity()));
        dueMs = context.activeMs() + delayMs + place * STAGGER_MS + chance() / 2;
    }

    private double chance() {
        return CHANCE_MS * context.random().nextDouble();
    }
}
