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
 * One mixer's part in replicating facts of searchers among the mixers: what it saw goes out, what comes is merged and
 * handed on, copies are compared by sums over stretches of the keys, and a mixer that returns pulls what it lacks, at a
 * bounded rate. No I/O, no clock; the same events give the same datagrams. Times are seconds on the clock that all
 * share.
 */
public final class FactReplicator implements FactDatagram.Reader {
    /** Sends datagrams; they may be lost. */
    public interface Transport {
        void send(int index, byte[] datagram);
    }

    private static final double CHANGED_RATE_FACTOR = 8; // times as often where the searcher changed
    private static final int UNHEALTHY_FAILURES =
            2; // failures in a row that are told: one alone is often a lost answer
    private static final int MAX_CATCH_UP_COMPARISONS =
            40; // comparisons that a mixer that returns makes at most before it goes on without
    private static final int MAX_ANSWER_DATAGRAMS = 12; // datagrams that answer one comparison
    private static final int REQUIRED_MATCHES =
            2; // members that held nothing else, until a mixer says it has caught up

    private final FactStore store = new FactStore();
    private final FactAggregator aggregator = new FactAggregator(store);
    private final FactReplicationSettings settings;
    private final Transport transport;
    private final SplittableRandom random;
    private final int self;
    private int size;
    private final IntPredicate isActive;
    /** To be handed on: facts that were news here, each once. */
    private final ArrayDeque<Fact> pendingFacts = new ArrayDeque<>();

    private final ArrayDeque<Fact> pendingWarnings = new ArrayDeque<>();
    /** Warnings handed on once, to be handed on once more. */
    private final ArrayDeque<Fact> warningsToResend = new ArrayDeque<>();

    private final ArrayDeque<Double> resendTimes = new ArrayDeque<>();
    /** By searcher: when this mixer saw it last, and the smoothed time between. */
    private final Map<Integer, double[]> observations = new HashMap<>();
    /** Searchers that this mixer warned the others of. */
    private final Set<Integer> reportedUnhealthy = new HashSet<>();
    /**
     * Whom this mixer sent sums to last, -1 where no answer is awaited; whether the answer named searchers that differ.
     */
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
    private int comparisons;
    private int consecutiveMatches;
    private int mergedSinceComparison;
    private long sent;
    private long sentBytes;
    private long mergedFacts;
    private long droppedFacts;

    /** @param takesPart whether the member at a place takes part, as the fleet's view has it */
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

    public FactStore store() {
        return store;
    }

    public FactAggregator aggregator() {
        return aggregator;
    }

    /** Begins: what the others know is pulled first, while the mixer serves. */
    public void start(double nowSeconds) {
        now = nowSeconds;
        startedAt = nowSeconds;
        budgetFilledAt = nowSeconds;
        budgetBytes = settings.burstBytes();
    }

    public void onMemberListChanged(int members) {
        size = members;
    }

    /**
     * Something this mixer saw itself. A pace that enough others told alike a moment ago is not told once more, so that
     * the load of telling stays the same however many mixers there are.
     *
     * @return whether it is told to the others
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

    /** What this mixer saw of a searcher at work; some failures in a row are a warning, taken back once it answers. */
    public void recordWork(double nowSeconds, int key, double latencySeconds, double queueLength, int failures) {
        recordObservation(nowSeconds, key, FactKind.LATENCY, latencySeconds, queueLength);
        if (failures >= UNHEALTHY_FAILURES
                ? reportedUnhealthy.add(key) || failures > UNHEALTHY_FAILURES
                : failures == 0 && reportedUnhealthy.remove(key)) {
            recordObservation(nowSeconds, key, FactKind.UNHEALTHY, failures, 0);
        }
    }

    /** A warning goes out twice: of a hundred mixers handed it at random by four others each, three would miss it. */
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
     * Whether a pace is told: where fewer than enough mixers told one like it of late, and then by lot, since all that
     * see the searcher would tell at once. The lot is such that among all that see it about as many tell as are wanted;
     * eight times as many where the others' word is another one, as that is news.
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

    /** The regular look: news goes out, copies are compared. */
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
        // Danger: under a flood news would pile up without end; what waits is told by comparison anyway.
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
        if (Double.isNaN(caughtUpAt) && ++comparisons > MAX_CATCH_UP_COMPARISONS) {
            caughtUpAt = now; // Nobody answers: there is nobody to catch up with.
        }
        mergedSinceComparison = 0;
        awaitedPeer = to;
        answerDiffered = false;
        send(to, FactDatagram.checksums(store.checksums()));
    }

    /** A datagram came from a member. Returns why it can't be used, or null where it could. */
    public String onDatagram(double nowSeconds, int index, byte[] datagram, int length) {
        now = nowSeconds;
        senderIndex = index;
        return FactDatagram.read(datagram, length, this);
    }

    @Override
    public void onFact(Fact fact) {
        // Danger: a stamp far ahead would prevail for good, and under this mixer's name would make all its later words
        // such
        // that nobody takes them. Harm: where clocks differ by more, facts are not taken.
        if (FactStore.isExpired(fact, now) || fact.ageSeconds(now) < -1) {
            return;
        }
        if (fact.origin() == self) {
            // A word of this mixer's from before its restart, maybe by a clock that went ahead: later words must be
            // newer.
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
     * Answers a comparison. Where the other holds nothing of a stretch it gets the facts; where it holds others, the
     * searchers with a sum each, so that only what differs crosses the network.
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
        for (int at = 0; at < keys.size() && remaining > 0 && hasBudget(); at += FactDatagram.MAX_SEARCHERS) {
            int end = Math.min(keys.size(), at + FactDatagram.MAX_SEARCHERS);
            send(senderIndex, FactDatagram.searchers(keys.subList(at, end), keyChecksums.subList(at, end)));
            remaining--;
        }
        remaining = Math.max(1, remaining);
        // Danger: two that return and hold nothing would tell each other that there is nothing to catch up with.
        boolean hasCaughtUp = !Double.isNaN(caughtUpAt);
        for (int at = 0; (at == 0 || at < facts.size()) && remaining > 0 && hasBudget(); at += FactDatagram.MAX_FACTS) {
            int end = Math.min(facts.size(), at + FactDatagram.MAX_FACTS);
            remaining--;
            send(
                    senderIndex,
                    FactDatagram.facts(facts.subList(at, end), hasCaughtUp && (remaining == 0 || end == facts.size())));
        }
    }

    /** Seventy that return at once share what the others can spare. */
    private boolean hasBudget() {
        return budgetBytes > -settings.burstBytes();
    }

    @Override
    public void onSearchers(int[] keys, int[] peerChecksums) {
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
            lastComparedAt = Double.NEGATIVE_INFINITY; // There may be more: on with the next member in the next turn.
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

    /** Seconds that catching up took; NaN while it goes on. */
    public double catchUpSeconds() {
        return caughtUpAt - startedAt;
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** A line a figure. */
    public String metrics() {
        return "state-facts " + store.size() + "\nstate-digest " + Long.toHexString(store.digest()) + "\nstate-merged "
                + mergedFacts + "\nstate-sent " + sent + "\nstate-sent-bytes " + sentBytes + "\nstate-left-out "
                + droppedFacts
                + "\nstate-caught-up "
                + (Double.isNaN(caughtUpAt) ? "no" : String.format(java.util.Locale.ROOT, "%.2f", catchUpSeconds()))
                + "\n";
    }
}
