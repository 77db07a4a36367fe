package pinewick.fleet.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * Replicates facts about replicas among the routers. Local observations are gossiped, received facts are merged
 * and forwarded, copies are compared by checksums over key ranges (anti-entropy), and a restarted router pulls what
 * it lacks at a bounded rate. Does no I/O and has no clock; the same events produce the same datagrams. Times are
 * seconds on the clock that all routers share.
 *
 * <p>A replica is a back end that answers queries; it holds no facts. Settings and log lines call a router a
 * mixer and a replica a searcher.
 */
public final class FactReplicator implements FactDatagram.Reader {
    /** Sends datagrams, which may be lost. */
    public interface Transport {
        /** Sends a datagram to the member with this index. */
        void send(int index, byte[] datagram);
    }

    private static final double CHANGED_RATE_FACTOR = 8; // how much more often a changed latency is published
    private static final int UNHEALTHY_FAILURES =
            2; // consecutive failures before a warning: a single one is often a lost answer
    private static final int MAX_CATCH_UP_COMPARISONS = 40; // after which a restarted router goes on without an answer
    private static final int MAX_ANSWER_DATAGRAMS = 12; // per comparison
    private static final int REQUIRED_MATCHES =
            2; // comparisons without a difference in a row before a router counts as caught up

    private final FactStore store = new FactStore();
    private final FactAggregator aggregator = new FactAggregator(store);
    private final FactReplicationSettings settings;
    private final Transport transport;
    private final SplittableRandom random;
    private final int self;
    private int size;
    private final IntPredicate isActive;
    /** Facts to be forwarded: each changed the local store and is forwarded once. */
    private final ArrayDeque<Fact> pendingFacts = new ArrayDeque<>();

    private final ArrayDeque<Fact> pendingWarnings = new ArrayDeque<>();
    /** Warnings that were sent once and are to be sent a second time. */
    private final ArrayDeque<Fact> warningsToResend = new ArrayDeque<>();

    private final ArrayDeque<Double> resendTimes = new ArrayDeque<>();
    /** By replica: time of the last local observation, and smoothed interval between observations. */
    private final Map<Integer, double[]> observations = new HashMap<>();
    /** Replicas that this router reported as unhealthy. */
    private final Set<Integer> reportedUnhealthy = new HashSet<>();
    /** Member whose answer to checksums is awaited, -1 if none; and whether that answer named differing replicas. */
    private int awaitedPeer = -1;

    private boolean answerDiffered;
    private double now;
    private int senderIndex;
    private long stamp;
    private double budgetBytes;
    private double budgetFilledAt = Double.NaN;
    private double lastSendAt = Double.NEGATIVE_INFINITY;
    private double lastComparedAt = Double.NEGATIVE_INFINITY;
    private double lastExpiryAt = Double.NEGATIVE_INFINITY;
    private double startedAt = Double.NaN;
    private double caughtUpAt = Double.NaN;
    private int catchUpComparisons;
    private int consecutiveMatches;
    private int mergedSinceComparison;
    private long sent;
    private long sentBytes;
    private long mergedFacts;
    private long droppedFacts;

    /** @param isActive whether the member with an index is active in the membership view */
    public FactReplicator(
            int size,
            int self,
            FactReplicationSettings settings,
            SplittableRandom random,
            Transport transport,
            IntPredicate isActive) {
        this.size = size;
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.transport = transport;
        this.isActive = isActive;
    }

    /** All facts that this router holds. */
    public FactStore store() {
        return store;
    }

    /** Figures of replicas as other routers report them. */
    public FactAggregator aggregator() {
        return aggregator;
    }

    /** Starts replication; the facts of the other routers are pulled first, while this router already serves. */
    public void start(double nowSeconds) {
        now = nowSeconds;
        startedAt = nowSeconds;
        budgetFilledAt = nowSeconds;
        budgetBytes = settings.burstBytes();
    }

    /** Handles a new number of listed members. */
    public void onMemberListChanged(int members) {
        size = members;
    }

    /**
     * Records a local observation. A latency that enough other routers recently reported alike is not published, so
     * that the replication load does not grow with the number of routers.
     *
     * @return whether the observation is published
     */
    public boolean recordObservation(double nowSeconds, int key, FactKind kind, double value, double secondValue) {
        now = nowSeconds;
        if (kind == FactKind.LATENCY && !shouldPublish(key, value)) {
            return false;
        }
        stamp = Math.max(stamp + 1, Math.round(now * 1e3));
        Fact fact = new Fact(key, kind, self, stamp, value, secondValue);
        store.merge(fact);
        enqueue(fact);
        return true;
    }

    /**
     * Records an answer or failure of a replica; consecutive failures raise a warning, which the next success
     * withdraws.
     */
    public void recordWork(double nowSeconds, int key, double latencySeconds, double queueLength, int failures) {
        recordObservation(nowSeconds, key, FactKind.LATENCY, latencySeconds, queueLength);
        if (failures >= UNHEALTHY_FAILURES
                ? reportedUnhealthy.add(key) || failures > UNHEALTHY_FAILURES
                : failures == 0 && reportedUnhealthy.remove(key)) {
            recordObservation(nowSeconds, key, FactKind.UNHEALTHY, failures, 0);
        }
    }

    /**
     * Enqueues a fact for forwarding. A warning is sent twice: if each of a hundred routers forwards it once to
     * four random others, three would miss it.
     */
    private void enqueue(Fact fact) {
        if (fact.kind() == FactKind.LATENCY) {
            pendingFacts.add(fact);
        } else {
            pendingWarnings.add(fact);
            warningsToResend.add(fact);
            resendTimes.add(now + settings.warningResendSeconds());
        }
    }

    /**
     * Whether a latency is published: only if too few routers reported a similar one recently, and then at random,
     * since otherwise all routers that observe the replica would publish at once. The probability is chosen so
     * that about the required number of observers publish; it is eight times as high if the others report a
     * different latency, as that is new information.
     */
    private boolean shouldPublish(int key, double latencySeconds) {
        double[] observation = observations.computeIfAbsent(
                key, any -> new double[] {now, settings.reportFreshSeconds() / settings.sufficientReports()});
        observation[1] += 0.3 * (now - observation[0] - observation[1]) * (now > observation[0] ? 1 : 0);
        observation[0] = now;
        int similar = 0;
        int fresh = 0;
        for (Fact each : store.of(key, FactKind.LATENCY)) {
            boolean isFresh = each.ageSeconds(now) < settings.reportFreshSeconds();
            fresh += isFresh ? 1 : 0;
            similar += isFresh
                            && Math.abs(each.value() - latencySeconds)
                                    <= settings.similarityTolerance() * latencySeconds
                    ? 1
                    : 0;
        }
        int activeCount = 1;
        for (int index = 0; index < size; index++) {
            activeCount += index != self && isActive.test(index) ? 1 : 0;
        }
        double targetRate = settings.sufficientReports()
                / settings.reportFreshSeconds()
                * (fresh > similar || fresh == 0 ? CHANGED_RATE_FACTOR : 1);
        return similar < settings.sufficientReports()
                && random.nextDouble() < targetRate * observation[1] / activeCount;
    }

    /** Sends pending facts and compares copies when due. */
    public void tick(double nowSeconds) {
        now = nowSeconds;
        budgetBytes = Math.min(settings.burstBytes(), budgetBytes + (now - budgetFilledAt) * settings.bytesPerSecond());
        budgetFilledAt = now;
        if (now - lastSendAt < settings.sendIntervalSeconds()) {
            return;
        }
        lastSendAt = now;
        if (Math.floor(now) > lastExpiryAt) {
            lastExpiryAt = Math.floor(now);
            store.removeExpired(now);
        }
        while (!resendTimes.isEmpty() && resendTimes.peek() <= now) {
            resendTimes.poll();
            pendingWarnings.add(warningsToResend.poll());
        }
        publish(pendingWarnings, settings.fanout());
        publish(pendingFacts, settings.fanout() / 2);
        boolean isCatchingUp = Double.isNaN(caughtUpAt);
        if (now - lastComparedAt
                >= (isCatchingUp ? settings.sendIntervalSeconds() : settings.comparisonIntervalSeconds())) {
            compareWithPeer();
        }
    }

    private void publish(ArrayDeque<Fact> queue, int fanout) {
        while (!queue.isEmpty() && budgetBytes > 0) {
            List<Fact> some = new ArrayList<>();
            while (!queue.isEmpty() && some.size() < FactDatagram.MAX_FACTS) {
                some.add(queue.poll());
            }
            byte[] datagram = FactDatagram.facts(some, false);
            for (int each = 0; each < fanout; each++) {
                send(randomActivePeer(), datagram);
            }
        }
        // Without this limit, the queue would grow without bound during a flood of facts. The dropped facts are
        // still replicated by comparison.
        while (queue.size() > 4 * FactDatagram.MAX_FACTS) {
            queue.poll();
            droppedFacts++;
        }
    }

    private void compareWithPeer() {
        int to = randomActivePeer();
        if (to < 0 || budgetBytes <= 0) {
            return;
        }
        lastComparedAt = now;
        if (Double.isNaN(caughtUpAt) && ++catchUpComparisons > MAX_CATCH_UP_COMPARISONS) {
            caughtUpAt = now; // No member answers, so there is nobody to catch up with.
        }
        mergedSinceComparison = 0;
        awaitedPeer = to;
        answerDiffered = false;
        send(to, FactDatagram.checksums(store.checksums()));
    }

    /** Handles a datagram from a member. Returns the reason why it is invalid, or null if it is valid. */
    public String onDatagram(double nowSeconds, int index, byte[] datagram, int length) {
        now = nowSeconds;
        senderIndex = index;
        return FactDatagram.read(datagram, length, this);
    }

    @Override
    public void onFact(Fact fact) {
        // Without this check, a fact with a stamp far in the future would take precedence for good, and under this
        // router's own origin would make all members reject its later facts; the cost is that facts are not
        // accepted if clocks differ by more than a second.
        if (FactStore.isExpired(fact, now) || fact.ageSeconds(now) < -1) {
            return;
        }
        if (fact.origin() == self) {
            // A fact of this router from before its restart, possibly with a clock that was ahead: later facts need
            // a newer stamp.
            stamp = Math.max(stamp, fact.stamp());
        }
        if (!store.merge(fact)) {
            return;
        }
        mergedFacts++;
        mergedSinceComparison++;
        if (fact.ageSeconds(now) <= settings.maxGossipAgeSeconds()) {
            enqueue(fact);
        }
    }

    /**
     * Answers a comparison. For a key range that is empty at the sender, sends the facts; for any other differing
     * range, sends the replicas with their checksums, so that only differences are transferred.
     */
    @Override
    public void onChecksums(int[] others) {
        int[] own = store.checksums();
        List<Fact> facts = new ArrayList<>();
        List<Integer> keys = new ArrayList<>();
        List<Integer> keyChecksums = new ArrayList<>();
        int first = random.nextInt(own.length);
        for (int each = 0; each < own.length && others.length == own.length; each++) {
            int range = (first + each) % own.length;
            if (own[range] != others[range] && others[range] == 0) {
                facts.addAll(store.all(range));
            } else if (own[range] != others[range]) {
                store.keyChecksums(range).forEach((key, checksum) -> {
                    keys.add(key);
                    keyChecksums.add(checksum);
                });
            }
        }
        int remaining = MAX_ANSWER_DATAGRAMS;
        for (int at = 0; at < keys.size() && remaining > 0 && hasBudget(); at += FactDatagram.MAX_REPLICAS) {
            int end = Math.min(keys.size(), at + FactDatagram.MAX_REPLICAS);
            send(senderIndex, FactDatagram.replicas(keys.subList(at, end), keyChecksums.subList(at, end)));
            remaining--;
        }
        remaining = Math.max(1, remaining);
        // Without this condition, two restarted routers without facts would tell each other that there is nothing
        // to catch up with.
        boolean hasCaughtUp = !Double.isNaN(caughtUpAt);
        for (int at = 0; (at == 0 || at < facts.size()) && remaining > 0 && hasBudget(); at += FactDatagram.MAX_FACTS) {
            int end = Math.min(facts.size(), at + FactDatagram.MAX_FACTS);
            remaining--;
            send(
                    senderIndex,
                    FactDatagram.facts(facts.subList(at, end), hasCaughtUp && (remaining == 0 || end == facts.size())));
        }
    }

    /**
     * Whether the byte budget allows an answer, so that seventy routers that restart at once share the capacity of
     * the others.
     */
    private boolean hasBudget() {
        return budgetBytes > -settings.burstBytes();
    }

    @Override
    public void onReplicas(int[] keys, int[] peerChecksums) {
        List<Integer> differing = new ArrayList<>();
        List<Fact> own = new ArrayList<>();
        for (int each = 0; each < keys.length; each++) {
            if (store.checksum(keys[each]) != peerChecksums[each]) {
                differing.add(keys[each]);
                own.addAll(store.of(keys[each]));
            }
        }
        answerDiffered |= senderIndex == awaitedPeer && !differing.isEmpty();
        if (!differing.isEmpty() && hasBudget()) {
            send(senderIndex, FactDatagram.keyRequest(differing));
            sendFacts(own);
        }
    }

    @Override
    public void onKeysRequested(int[] keys) {
        List<Fact> all = new ArrayList<>();
        for (int each : keys) {
            all.addAll(store.of(each));
        }
        sendFacts(all);
    }

    private void sendFacts(List<Fact> all) {
        for (int at = 0; at < all.size() && hasBudget(); at += FactDatagram.MAX_FACTS) {
            send(
                    senderIndex,
                    FactDatagram.facts(all.subList(at, Math.min(all.size(), at + FactDatagram.MAX_FACTS)), false));
        }
    }

    @Override
    public void onAnswerComplete() {
        if (senderIndex != awaitedPeer) {
            return;
        }
        awaitedPeer = -1;
        boolean matched = mergedSinceComparison == 0 && !answerDiffered;
        consecutiveMatches = matched ? consecutiveMatches + 1 : 0;
        if (!matched) {
            lastComparedAt =
                    Double.NEGATIVE_INFINITY; // There may be more: compare with the next member in the next round.
        }
        mergedSinceComparison = 0;
        if (consecutiveMatches >= REQUIRED_MATCHES && Double.isNaN(caughtUpAt)) {
            caughtUpAt = now;
        }
    }

    private void send(int to, byte[] datagram) {
        if (to >= 0) {
            budgetBytes -= datagram.length;
            sent++;
            sentBytes += datagram.length;
            transport.send(to, datagram);
        }
    }

    private int randomActivePeer() {
        for (int attempt = 0; attempt < 8; attempt++) {
            int index = random.nextInt(size);
            if (index != self && isActive.test(index)) {
                return index;
            }
        }
        int found = -1;
        int candidates = 0;
        for (int index = 0; index < size; index++) {
            if (index != self && isActive.test(index) && random.nextInt(++candidates) == 0) {
                found = index;
            }
        }
        return found;
    }

    /** Seconds from the start until this router had caught up; NaN before that. */
    public double catchUpSeconds() {
        return caughtUpAt - startedAt;
    }

    /** Number of bytes sent. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Metrics as text, one per line. */
    public String metrics() {
        return "state-facts " + store.size() + "\nstate-digest " + Long.toHexString(store.digest()) + "\nstate-merged "
                + mergedFacts + "\nstate-sent " + sent + "\nstate-sent-bytes " + sentBytes + "\nstate-left-out "
                + droppedFacts
                + "\nstate-caught-up "
                + (Double.isNaN(caughtUpAt) ? "no" : String.format(java.util.Locale.ROOT, "%.2f", catchUpSeconds()))
                + "\n";
    }
}
