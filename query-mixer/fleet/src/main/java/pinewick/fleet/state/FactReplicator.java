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
    public interface Wire {
        void send(int place, byte[] datagram);
    }

    private static final double CHANGED = 8; // times as often where the searcher changed
    private static final int ILL = 2; // failures in a row that are told: one alone is often a lost answer
    private static final int TRIES =
            40; // comparisons that a mixer that returns makes at most before it goes on without
    private static final int ANSWERS = 12; // datagrams that answer one comparison
    private static final int AGREED = 2; // members that held nothing else, until a mixer says it has caught up

    private final FactStore store = new FactStore();
    private final FactAggregator agreed = new FactAggregator(store);
    private final FactReplicationSettings terms;
    private final Wire wire;
    private final SplittableRandom chance;
    private final int self;
    private int size;
    private final IntPredicate takesPart;
    /** To be handed on: facts that were news here, each once. */
    private final ArrayDeque<Fact> news = new ArrayDeque<>();

    private final ArrayDeque<Fact> urgent = new ArrayDeque<>();
    /** Warnings handed on once, to be handed on once more. */
    private final ArrayDeque<Fact> again = new ArrayDeque<>();

    private final ArrayDeque<Double> againAt = new ArrayDeque<>();
    /** By searcher: when this mixer saw it last, and the smoothed time between. */
    private final Map<Integer, double[]> seen = new HashMap<>();
    /** Searchers that this mixer warned the others of. */
    private final Set<Integer> warnedOf = new HashSet<>();
    /**
     * Whom this mixer sent sums to last, -1 where no answer is awaited; whether the answer named searchers that differ.
     */
    private int asked = -1;

    private boolean differed;
    private double now;
    private int from;
    private long stamp;
    private double bytes;
    private double filledAt = Double.NaN;
    private double turnAt = Double.NEGATIVE_INFINITY;
    private double comparedAt = Double.NEGATIVE_INFINITY;
    private double forgotAt = Double.NEGATIVE_INFINITY;
    private double startedAt = Double.NaN;
    private double caughtUpAt = Double.NaN;
    private int tries;
    private int alike;
    private int newsSinceAsked;
    private long sent;
    private long sentBytes;
    private long merged;
    private long held;

    /** @param takesPart whether the member at a place takes part, as the fleet's view has it */
    public FactReplicator(
            int size,
            int self,
            FactReplicationSettings terms,
            SplittableRandom chance,
            Wire wire,
            IntPredicate takesPart) {
        this.size = size;
        this.self = self;
        this.terms = terms;
        this.chance = chance;
        this.wire = wire;
        this.takesPart = takesPart;
    }

    public FactStore store() {
        return store;
    }

    public FactAggregator agreed() {
        return agreed;
    }

    /** Begins: what the others know is pulled first, while the mixer serves. */
    public void start(double at) {
        now = at;
        startedAt = at;
        filledAt = at;
        bytes = terms.burst();
    }

    public void listed(int members) {
        size = members;
    }

    /**
     * Something this mixer saw itself. A pace that enough others told alike a moment ago is not told once more, so that
     * the load of telling stays the same however many mixers there are.
     *
     * @return whether it is told to the others
     */
    public boolean saw(double at, int key, FactKind kind, double first, double second) {
        now = at;
        if (kind == FactKind.PACE && !worthTelling(key, first)) {
            return false;
        }
        stamp = Math.max(stamp + 1, Math.round(now * 1e3));
        Fact fact = new Fact(key, kind, self, stamp, first, second);
        store.merge(fact);
        handOn(fact);
        return true;
    }

    /** What this mixer saw of a searcher at work; some failures in a row are a warning, taken back once it answers. */
    public void sawWork(double at, int key, double pace, double queue, int failures) {
        saw(at, key, FactKind.PACE, pace, queue);
        if (failures >= ILL ? warnedOf.add(key) || failures > ILL : failures == 0 && warnedOf.remove(key)) {
            saw(at, key, FactKind.ILL, failures, 0);
        }
    }

    /** A warning goes out twice: of a hundred mixers handed it at random by four others each, three would miss it. */
    private void handOn(Fact fact) {
        if (fact.kind() == FactKind.PACE) {
            news.add(fact);
        } else {
            urgent.add(fact);
            again.add(fact);
            againAt.add(now + terms.again());
        }
    }

    /**
     * Whether a pace is told: where fewer than enough mixers told one like it of late, and then by lot, since all that
     * see the searcher would tell at once. The lot is such that among all that see it about as many tell as are wanted;
     * eight times as many where the others' word is another one, as that is news.
     */
    private boolean worthTelling(int key, double pace) {
        double[] times = seen.computeIfAbsent(key, any -> new double[] {now, terms.fresh() / terms.enough()});
        times[1] += 0.3 * (now - times[0] - times[1]) * (now > times[0] ? 1 : 0);
        times[0] = now;
        int similar = 0;
        int fresh = 0;
        for (Fact each : store.of(key, FactKind.PACE)) {
            boolean young = each.age(now) < terms.fresh();
            fresh += young ? 1 : 0;
            similar += young && Math.abs(each.first() - pace) <= terms.alike() * pace ? 1 : 0;
        }
        int takingPart = 1;
        for (int place = 0; place < size; place++) {
            takingPart += place != self && takesPart.test(place) ? 1 : 0;
        }
        double wanted = terms.enough() / terms.fresh() * (fresh > similar || fresh == 0 ? CHANGED : 1);
        return similar < terms.enough() && chance.nextDouble() < wanted * times[1] / takingPart;
    }

    /** The regular look: news goes out, copies are compared. */
    public void tick(double at) {
        now = at;
        bytes = Math.min(terms.burst(), bytes + (now - filledAt) * terms.bytesASecond());
        filledAt = now;
        if (now - turnAt < terms.turn()) {
            return;
        }
        turnAt = now;
        if (Math.floor(now) > forgotAt) {
            forgotAt = Math.floor(now);
            store.forget(now);
        }
        while (!againAt.isEmpty() && againAt.peek() <= now) {
            againAt.poll();
            urgent.add(again.poll());
        }
        tell(urgent, terms.fan());
        tell(news, terms.fan() / 2);
        boolean returning = Double.isNaN(caughtUpAt);
        if (now - comparedAt >= (returning ? terms.turn() : terms.compare())) {
            compare();
        }
    }

    private void tell(ArrayDeque<Fact> what, int fan) {
        while (!what.isEmpty() && bytes > 0) {
            List<Fact> some = new ArrayList<>();
            while (!what.isEmpty() && some.size() < FactDatagram.FACTS) {
                some.add(what.poll());
            }
            byte[] datagram = FactDatagram.facts(some, false);
            for (int each = 0; each < fan; each++) {
                post(anyOther(), datagram);
            }
        }
        // Danger: under a flood news would pile up without end; what waits is told by comparison anyway.
        while (what.size() > 4 * FactDatagram.FACTS) {
            what.poll();
            held++;
        }
    }

    private void compare() {
        int to = anyOther();
        if (to < 0 || bytes <= 0) {
            return;
        }
        comparedAt = now;
        if (Double.isNaN(caughtUpAt) && ++tries > TRIES) {
            caughtUpAt = now; // Nobody answers: there is nobody to catch up with.
        }
        newsSinceAsked = 0;
        asked = to;
        differed = false;
        post(to, FactDatagram.sums(store.sums()));
    }

    /** A datagram came from a member. Returns why it can't be used, or null where it could. */
    public String heard(double at, int place, byte[] datagram, int length) {
        now = at;
        from = place;
        return FactDatagram.read(datagram, length, this);
    }

    @Override
    public void fact(Fact fact) {
        // Danger: a stamp far ahead would prevail for good, and under this mixer's name would make all its later words
        // such
        // that nobody takes them. Harm: where clocks differ by more, facts are not taken.
        if (FactStore.old(fact, now) || fact.age(now) < -1) {
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
        merged++;
        newsSinceAsked++;
        if (fact.age(now) <= terms.freshest()) {
            handOn(fact);
        }
    }

    /**
     * Answers a comparison. Where the other holds nothing of a stretch it gets the facts; where it holds others, the
     * searchers with a sum each, so that only what differs crosses the network.
     */
    @Override
    public void sums(int[] others) {
        int[] own = store.sums();
        List<Fact> facts = new ArrayList<>();
        List<Integer> keys = new ArrayList<>();
        List<Integer> keySums = new ArrayList<>();
        int first = chance.nextInt(own.length);
        for (int each = 0; each < own.length && others.length == own.length; each++) {
            int stretch = (first + each) % own.length;
            if (own[stretch] != others[stretch] && others[stretch] == 0) {
                facts.addAll(store.all(stretch));
            } else if (own[stretch] != others[stretch]) {
                store.keySums(stretch).forEach((key, sum) -> {
                    keys.add(key);
                    keySums.add(sum);
                });
            }
        }
        int left = ANSWERS;
        for (int at = 0; at < keys.size() && left > 0 && spares(); at += FactDatagram.SEARCHERS) {
            int end = Math.min(keys.size(), at + FactDatagram.SEARCHERS);
            post(from, FactDatagram.searchers(keys.subList(at, end), keySums.subList(at, end)));
            left--;
        }
        left = Math.max(1, left);
        // Danger: two that return and hold nothing would tell each other that there is nothing to catch up with.
        boolean knows = !Double.isNaN(caughtUpAt);
        for (int at = 0; (at == 0 || at < facts.size()) && left > 0 && spares(); at += FactDatagram.FACTS) {
            int end = Math.min(facts.size(), at + FactDatagram.FACTS);
            left--;
            post(from, FactDatagram.facts(facts.subList(at, end), knows && (left == 0 || end == facts.size())));
        }
    }

    /** Seventy that return at once share what the others can spare. */
    private boolean spares() {
        return bytes > -terms.burst();
    }

    @Override
    public void searchers(int[] keys, int[] sums) {
        List<Integer> differ = new ArrayList<>();
        List<Fact> own = new ArrayList<>();
        for (int each = 0; each < keys.length; each++) {
            if (store.sum(keys[each]) != sums[each]) {
                differ.add(keys[each]);
                own.addAll(store.of(keys[each]));
            }
        }
        differed |= from == asked && !differ.isEmpty();
        if (!differ.isEmpty() && spares()) {
            post(from, FactDatagram.wanted(differ));
            facts(own);
        }
    }

    @Override
    public void wanted(int[] keys) {
        List<Fact> all = new ArrayList<>();
        for (int each : keys) {
            all.addAll(store.of(each));
        }
        facts(all);
    }

    private void facts(List<Fact> all) {
        for (int at = 0; at < all.size() && spares(); at += FactDatagram.FACTS) {
            post(from, FactDatagram.facts(all.subList(at, Math.min(all.size(), at + FactDatagram.FACTS)), false));
        }
    }

    @Override
    public void last() {
        if (from != asked) {
            return;
        }
        asked = -1;
        boolean same = newsSinceAsked == 0 && !differed;
        alike = same ? alike + 1 : 0;
        if (!same) {
            comparedAt = Double.NEGATIVE_INFINITY; // There may be more: on with the next member in the next turn.
        }
        newsSinceAsked = 0;
        if (alike >= AGREED && Double.isNaN(caughtUpAt)) {
            caughtUpAt = now;
        }
    }

    private void post(int to, byte[] datagram) {
        if (to >= 0) {
            bytes -= datagram.length;
            sent++;
            sentBytes += datagram.length;
            wire.send(to, datagram);
        }
    }

    private int anyOther() {
        for (int tries = 0; tries < 8; tries++) {
            int place = chance.nextInt(size);
            if (place != self && takesPart.test(place)) {
                return place;
            }
        }
        int found = -1;
        int seen = 0;
        for (int place = 0; place < size; place++) {
            if (place != self && takesPart.test(place) && chance.nextInt(++seen) == 0) {
                found = place;
            }
        }
        return found;
    }

    /** Seconds that catching up took; NaN while it goes on. */
    public double caughtUpAfter() {
        return caughtUpAt - startedAt;
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** A line a figure. */
    public String figures() {
        return "state-facts " + store.size() + "\nstate-digest " + Long.toHexString(store.digest()) + "\nstate-merged "
                + merged + "\nstate-sent " + sent + "\nstate-sent-bytes " + sentBytes + "\nstate-left-out " + held
                + "\nstate-caught-up "
                + (Double.isNaN(caughtUpAt) ? "no" : String.format(java.util.Locale.ROOT, "%.2f", caughtUpAfter()))
                + "\n";
    }
}
