package pinewick;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import pinewick.selection.CoarseTimes;
import pinewick.selection.FoundAgain;
import pinewick.selection.SlidingSum;

/**
 * Every decision of one mixer. A front builds one Logic for each mixer, tells it the list of searchers
 * ({@link #list}), hands it queries ({@link #take}, whose handle is called with all later news of the query),
 * ends each batch with {@link #endOfBatch} and passes on {@link #ring} and {@link #probed}. What Logic asks
 * for goes out through {@link Host}. Start reading at {@link #start}, the ordinary path of a query, then
 * {@link #sweep}, which looks after what is out. docs/design.md tells what follows the source, and when.
 */
public final class Logic {
    // Shares of the latency goal (of the grade at hand, or the shortest), so that they fit any deployment.
    private static final double FIRST_GUESS = 0.1, ANSWER_TARGET = 0.15; // R, s unmeasured (design); prompt
    private static final double FRESH = 0.5, REST = 0.25, REST_MOST = 2; // reports fade; rests after failures
    private static final double PATIENCE_LEAST = 0.125, PATIENCE_MOST = 0.5; // bounds of a launch's patience
    private static final double OVERLOAD_WAIT = 0.1, RUN_MOST = 0.6; // oldest held; longest run expected
    private static final double QUEUE_MOST = 0.3, SWEEP = 0.01; // longest reported queue; between two looks
    private static final double ASK_AGE = 0.1, ASK_WAIT = 0.02, ASK_AGAIN = 0.2; // age, wait, next
    private static final double NEWEST_WEIGHT = 0.3, PATIENCE_FACTOR = 1.5; // plain numbers: in R; of P95
    private static final double ASK_LEAST = 0.3, BUSY_WEIGHT = 0.05, BUSY_QUEUE = 0.15, BUSY_MOST = 3;
    private static final double ROOM_FIRST = 4, ROOM_CUT = 0.8, STALL = 5, BARE_FACTOR = 1.5; // room; looks
    private static final double HEAVY = 0.15, COLD_MARGIN = 0.8; // of parts; of cold budgets
    private static final double COPY_SHARE = 0.1, COPY_FREE = 5, RUN_QUANTILE = 0.8, LATER_TRY = 0.02; // more
    private static final double WIDE = 0.5, START_LACKS = 0.9, TRIFLE = 1e-4; // of listed searchers; weight
    private static final double START_MOST = 0.45, MIXERS_FEW = 4; // of the client's time; twice ask nobody
    private static final int ENOUGH = 8, BINS = 14, ASK_MOST = 32, DEADLY = 2; // believed; held; crashes
    private static final double HALVED_AT = 200, FASTEST = 100; // served parts a goal in the top bin of rates

    private final Host host;
    private final Host.Deployment given;
    private final SplittableRandom chance;
    private final double goal, openedAt;
    private final List<GradeRow> grades = new ArrayList<>();
    private final Map<String, Searcher> searchers = new LinkedHashMap<>();
    private final List<List<Searcher>> cells;
    private final List<List<Searcher>> holders = new ArrayList<>(); // of the shards that begin at each cell
    private final List<SlidingSum> offers = new ArrayList<>(); // parts of the shards that begin there
    private final long[] askedOf; // the turn in which these had room for one part, or with a minus, had not
    private long turn = 1;
    private final LinkedHashSet<Query> live = new LinkedHashSet<>(), held = new LinkedHashSet<>();
    private final List<Searcher> reservedAt = new ArrayList<>();
    private final CoarseTimes servedRates, drainTimes;
    private final FoundAgain lasting;
    private final SlidingSum takes = new SlidingSum(), furtherLaunches = new SlidingSum();
    private double lastBatchAt, busy = BUSY_MOST, askAt = Double.POSITIVE_INFINITY;
    private double crashedAt = Double.NEGATIVE_INFINITY; // when a connection was last lost under work
    private int failedAsks, mixers, tier, ready;
    private boolean lookDue;

    public Logic(Host host, Host.Deployment given, SplittableRandom chance) {
        this.host = host;
        this.given = given;
        this.chance = chance;
        mixers = tier = given.mixers();
        given.grades().forEach(terms -> grades.add(new GradeRow(terms)));
        goal = given.grades().stream().mapToDouble(Host.GradeTerms::latencyGoal).min().orElse(1);
        lasting = new FoundAgain(goal / 2, goal / 2);
        drainTimes = new CoarseTimes(goal, 1.5, BINS, HALVED_AT);
        servedRates = new CoarseTimes(FASTEST / goal, 1.2, BINS * 2, HALVED_AT);
        cells = Stream.<List<Searcher>>generate(ArrayList::new).limit(given.cells()).toList();
        cells.forEach(any -> holders.add(new ArrayList<>()));
        cells.forEach(any -> offers.add(new SlidingSum()));
        askedOf = new long[given.cells()];
        if (given.mustAsk()) {
            host.track(true);
        }
        lastBatchAt = openedAt = host.now();
        host.timer(SWEEP * goal, 0);
    }

    /** So many mixers live, for the score, and so many may send at most, for this one's share in rule 4. */
    public void mixers(int count, int most) {
        mixers = count;
        tier = most;
    }

    /** News of the list. Draining and gone searchers get nothing new from this call on (rule 3). */
    public void list(Host.ListForm form, List<Host.Listing> entries) {
        if (form == Host.ListForm.FAILED) {
            // Danger: all ask the list's service again at once; so waits spread, inside askWithin.
            double wait = REST * goal * (1 << Math.min(failedAsks++, 5));
            askAt = host.now() + Math.min(wait, given.rules().askWithin() / 4) * (0.5 + chance.nextDouble());
            return;
        }
        failedAsks = 0;
        askAt = Double.POSITIVE_INFINITY;
        if (form != Host.ListForm.CHANGES) {
            searchers.values().forEach(each -> each.stage = Host.Stage.GONE);
        }
        for (Host.Listing entry : entries) {
            Searcher known = searchers.computeIfAbsent(entry.searcher(), Searcher::new);
            if (entry.startedAt() > known.startedAt) {
                known.restarted(entry.startedAt());
                known.room = ROOM_FIRST;
            }
            known.stage = entry.stage();
            known.cell = Math.floorMod(entry.cell(), given.cells());
            known.near = entry.zone().equals(given.zone());
        }
        cells.forEach(List::clear);
        ready = 0;
        for (Searcher each : searchers.values()) {
            each.goneAt = each.stage != Host.Stage.GONE ? Double.POSITIVE_INFINITY
                : Math.min(each.goneAt, host.now());
            if (each.stage == Host.Stage.READY) {
                cells.get(each.cell).add(each);
                ready++;
            }
        }
        turn++;
        for (int first = 0; first < given.cells(); first++) {
            holders.get(first).clear();
            for (int cell = first; cell < first + given.reach(); cell++) {
                holders.get(first).addAll(cells.get(Math.floorMod(cell, given.cells())));
            }
        }
        // Danger: with ever new ids memory grows all day; one gone is forgotten once no rule needs it.
        double keep = 2 * REST_MOST * goal + given.rules().coldTime() + given.rules().fallTime();
        searchers.values().removeIf(each -> each.out.isEmpty() && host.now() - each.goneAt > keep);
    }

    private List<Searcher> holders(int shard) {
        return holders.get(Math.floorMod(shard, given.cells()));
    }

    /** Takes a query of so many parts; it starts once all of them have been handed in. */
    public Query take(String id, int grade, double ttl, int parts, double workHint, boolean again) {
        Query query = new Query(id, grades.get(grade), ttl, parts, workHint, again);
        takes.add(host.now(), 1);
        live.add(query);
        // Danger: with a long goal the regular look comes too seldom to end a query in time.
        host.timer(Math.max(given.tick(), query.stopAt - host.now()), 1);
        if (query.grade.terms.leastShare() < query.grade.terms.wholeFrom()) {
            host.timer(Math.max(given.tick(), query.partlyAt() - host.now()), 1);
        }
        return query;
    }

    /** A timer: 0 is the regular look at all that is out, 1 the end of some query. */
    public void ring(long name) {
        lookDue = true;
        if (name == 0) {
            host.timer(SWEEP * goal, 0);
        }
    }

    /** The ordinary path of a query: group its parts by holders, each group to the holder of lowest score,
     *  launch all together; if one finds no room, all are held, as no work may go to what is declined. Where
     *  an answer may lack parts, most of that may find no room yet; they follow when they do. */
    private boolean start(Query query, boolean reserve) {
        if (!reserve && !query.startable()) {
            return false; // Danger: planning all held queries anew each batch took most of a mixer's time.
        }
        Map<Integer, List<Part<Query, Searcher>>> groups = new LinkedHashMap<>();
        for (Part<Query, Searcher> part : query.parts.values()) {
            if (part.launches.isEmpty() && !part.done) {
                // Where a call costs work, parts with the same holders share it, or they would pay twice.
                int key = callsCost() ? Math.floorMod(part.shard, given.cells()) : -1 - part.shard;
                groups.computeIfAbsent(key, any -> new ArrayList<>()).add(part);
            }
        }
        Map<List<Part<Query, Searcher>>, Searcher> plan = new LinkedHashMap<>();
        for (List<Part<Query, Searcher>> group : groups.values()) {
            Searcher best = choose(group.get(0), group.size());
            if (best != null) {
                best.planned += group.size();
                plan.put(group, best);
            }
        }
        double missing = 0;
        for (List<Part<Query, Searcher>> group : groups.values()) {
            for (Part<Query, Searcher> part : group) {
                missing += plan.containsKey(group) ? 0 : part.weight;
            }
        }
        if (!query.started() && missing > START_LACKS * query.mayMiss()) {
            // Danger: under overload narrow queries take piece by piece the room that a wide one needs; so
            // the first by value keeps what it found this turn. Harm: idle room; not done within one grade.
            if (reserve) {
                reservedAt.addAll(plan.values());
            } else {
                plan.values().forEach(each -> each.planned = 0);
            }
            turn++;
            return false;
        }
        plan.forEach((group, each) -> each.planned -= group.size());
        query.startedAt = query.started() ? query.startedAt : host.now();
        query.scouting = query.scouts();
        for (Map.Entry<List<Part<Query, Searcher>>, Searcher> each : plan.entrySet()) {
            each.getKey().forEach(part -> launch(part, each.getValue()));
            if (query.scouting) {
                return true; // Nothing more before its answer; an overdue wide one is let go.
            }
        }
        return plan.size() == groups.size();
    }

    private boolean callsCost() {
        return given.callSize() > 1 && given.callWork() > 0;
    }

    /** The lowest score among the holders fit to take so many parts now; null if there is none. */
    private Searcher choose(Part<Query, Searcher> part, int count) {
        Searcher best = null;
        double lowest = 0;
        for (Searcher each : holders(part.shard)) {
            if (fit(each, part, count)) {
                // Where a call costs work, a part joins one of this turn for nothing, as other mixers see one
                // call; another holder costs a call more. Harm: parts of one call wait for each other.
                double score = !callsCost() ? each.score(part, each.planned)
                    : each.score(part, 0) + (each.planned > 0 ? 0 : given.callWork());
                if (best == null || score < lowest) {
                    best = each;
                    lowest = score;
                }
            }
        }
        return best;
    }

    /** An unsound holder is the last resort, one part at a time: the look may be wrong. Harm: idle waits. */
    private boolean fit(Searcher each, Part<Query, Searcher> part, int count) {
        return !part.waitsAt(each) && each.hasColdBudget(part.query, count)
            && (each.sound() ? each.hasRoom(count) : each.out.size() + each.planned == 0
            && holders(part.shard).stream().noneMatch(Searcher::sound));
    }

    /** Whether so many shards have no holder at all that no answer could be given. */
    private boolean lacks(Query query) {
        double weight = 0;
        for (Part<Query, Searcher> part : query.parts.values()) {
            weight += part.launches.isEmpty() && holders(part.shard).isEmpty() ? part.weight : 0;
        }
        return weight > query.mayMiss();
    }

    /** Whether any holder may take a part never launched: once a turn, unless a lot decides. */
    private boolean anyFit(Part<Query, Searcher> part) {
        int first = Math.floorMod(part.shard, given.cells());
        if (Math.abs(askedOf[first]) == turn) {
            return askedOf[first] > 0; // Danger: asking each time took half of a busy mixer's time.
        }
        boolean found = false, same = true;
        for (Searcher each : holders.get(first)) {
            same &= !each.cold();
            found = found || fit(each, part, 1);
        }
        askedOf[first] = !same ? 0 : found ? turn : -turn;
        return found;
    }

    private void launch(Part<Query, Searcher> part, Searcher searcher) {
        Query query = part.query;
        double now = host.now();
        if (!part.launches.isEmpty()) {
            furtherLaunches.add(now, 1);
        }
        part.launches.forEach(each -> each.outAtNext |= !each.over);
        Launch<Searcher> launch = new Launch<>(searcher, now, now + query.grade.patience(),
            now - searcher.reportAt < FRESH * goal ? searcher.queue + searcher.sentSince : 0);
        turn++;
        searcher.sentSince++;
        part.launches.add(launch);
        part.out++;
        query.out++;
        searcher.out.add(launch);
        if (searcher.cold()) {
            searcher.coldSpent.add(now, query.grade.meanWork());
        }
        host.launch(part.id, searcher.id, Math.max(given.tick(),
            Math.min(query.usefulEnd() - now, query.grade.terms.latencyGoal())));
    }

    /** After each batch: starts what is held, as it came, or by value once the oldest waited too long. */
    public void endOfBatch() {
        if (lookDue) {
            lookDue = false;
            sweep();
        }
        turn++;
        double now = lastBatchAt = host.now();
        List<Query> order = new ArrayList<>(held);
        boolean reserved = grades.size() == 1;
        boolean overload = !held.isEmpty() && now - order.get(0).takenAt > OVERLOAD_WAIT * goal;
        if (overload) {
            order.forEach(query -> query.worth = query.grade.terms.value()
                / (query.parts.size() * query.grade.answerTime(0.5)));
            order.sort((one, other) -> Double.compare(other.worth, one.worth));
        }
        for (Query query : order) {
            if (query.ended || asking(query)) {
                continue;
            }
            // What cannot be fulfilled in time is declined before work or half the client's time is spent.
            if (!query.started() && (now + query.grade.runTime()
                > Math.min(query.goalAt, query.stopAt) || now > query.startBy || lacks(query))) {
                query.lost();
            } else if (start(query, overload && !reserved)) {
                held.remove(query);
            } else {
                reserved = true;
            }
        }
        reservedAt.forEach(each -> each.planned = 0);
        reservedAt.clear();
    }

    /** Asks two of each part's holders, by chance, for their load where reports are old, and waits a moment;
     *  seldom while queues are short: probes cost. Danger: many mixers hear rarely: a blind choice. */
    private boolean asking(Query query) {
        double now = host.now();
        boolean first = now <= query.takenAt + 2 * ASK_WAIT * goal;
        boolean again = now >= query.askAgainAt;
        if (!given.mayProbe() || (!first && !again) || held.size() > ASK_MOST
            || mixers < 2 * MIXERS_FEW) {
            return false;
        }
        query.askAgainAt = again ? now + ASK_AGAIN * goal : query.askAgainAt;
        boolean waits = false;
        for (Part<Query, Searcher> part : query.parts.values()) {
            List<Searcher> fit = new ArrayList<>(holders(part.shard));
            fit.removeIf(each -> !each.sound() || each.cold());
            for (Searcher each : fit) {
                waits |= each.probing && now < each.askedAt + ASK_WAIT * goal;
            }
            if (!again || (!first && fit.stream().anyMatch(each -> each.hasRoom(1)))) {
                continue;
            }
            while (fit.size() > 2) {
                fit.remove(chance.nextInt(fit.size()));
            }
            for (Searcher each : fit) {
                boolean old = now - Math.max(each.askedAt, each.reportAt) > ASK_AGE * goal;
                if (old && !each.probing && chance.nextDouble() < ASK_LEAST + busy) {
                    each.asked(now);
                    host.probe(each.id);
                    waits = true;
                }
            }
        }
        return waits;
    }

    /** Looks after all that is out: final answers that are due, overdue launches, searchers at rest. */
    private void sweep() {
        double now = host.now();
        if (now >= askAt) {
            askAt = Double.POSITIVE_INFINITY;
            host.track(true);
        }
        mayLaunchFurther(true); // lets both sums forget what is older than their window
        for (Query query : List.copyOf(live)) {
            if (now >= query.usefulEnd() || (now >= query.partlyAt() && query.mayAnswerPartly())) {
                query.lost();
            } else if (query.started()) {
                if (query.scouting && !query.scouts()) {
                    query.scouted();
                }
                long overdue = query.overdueParts();
                query.parts.values().forEach(part -> tend(part, overdue));
            }
        }
        for (Searcher each : searchers.values()) {
            if (each.failures > 0 && now >= each.restUntil && each.stage == Host.Stage.READY
                && !each.probing && !each.cleared && given.mayProbe() && !each.cold()) {
                // Danger: all mixers probing a searcher at rest overrun what it answers, and the time-outs
                // keep it at rest for all; so few probe, the rest try one part. Harm: a dead one costs one.
                each.cleared = mixers > 2 * MIXERS_FEW && chance.nextDouble() >= 2 * MIXERS_FEW / mixers;
                if (!each.cleared) {
                    each.asked(now);
                    host.probe(each.id);
                }
            }
        }
    }

    /** One part of a started query: launches it again, or a second copy, where that helps and is allowed. */
    private void tend(Part<Query, Searcher> part, long overdue) {
        Query query = part.query;
        double now = host.now();
        if (part.done || part.spent || query.ended || part.launches.isEmpty()) {
            return;
        }
        if (part.out == 0) {
            Searcher next = mayLaunchFurther(true) ? choose(part, 1) : null;
            if (part.launches.size() >= given.mostLaunches() || !mayRepeat(part)) {
                query.spent(part);
            } else if (next != null && query.usefulEnd() - now > Math.max(next.r, next.s())) {
                launch(part, next);
            }
            return;
        }
        Launch<Searcher> latest = part.latest();
        // Danger: a heavy query's parts are all overdue, as in a jam, and each launch more is as heavy; so
        // with several overdue only one that failed is left. Harm: one that meets two ill searchers waits.
        // And where the least share is in, one part more is worth little: copies are for those that need all.
        if (part.out > 1 || latest.over || latest.cancelled || now < latest.overdueAt
            || (overdue > 1 && query.mayMiss() > TRIFLE && query.weightIn >= 1 - query.mayMiss())
            || (overdue > Math.max(1, HEAVY * query.parts.size()) && latest.searcher.failures == 0)
            || !mayRepeat(part) || part.launches.size() >= given.mostLaunches()
            || !mayLaunchFurther(!latest.searcher.sound())) {
            return;
        }
        Searcher next = choose(part, 1);
        if (next == null || !next.sound() || query.usefulEnd() - now <= Math.max(next.r, next.s())) {
            return;
        }
        if (given.mayOverlap()) {
            launch(part, next);
        } else if (given.mayCancel() && !latest.searcher.sound()) {
            latest.cancelled = true;
            host.cancel(part.id, part.launches.size() - 1);
        }
    }

    private double offered(int first) { // parts within a cold searcher's time, by their shards' first cell
        return offers.get(first).since(host.now() - given.rules().coldTime());
    }

    /** How long one part in a searcher's queue lasts. */
    private double drain() {
        return drainTimes.total() < ENOUGH ? FIRST_GUESS * goal / 2 : drainTimes.quantile(0.5);
    }

    /** Rule 6, one launch short of the stated budget; where none is stated, a limit of our own. */
    private boolean mayLaunchFurther(boolean replaces) {
        Host.RuleTerms rules = given.rules();
        boolean stated = rules.freeLaunches() < Double.POSITIVE_INFINITY;
        double window = stated ? rules.launchWindow() : 2 * REST_MOST * goal;
        double taken = takes.since(host.now() - window + given.tick());
        double most = stated ? rules.freeLaunches() + rules.launchShare() * taken
            : COPY_FREE + COPY_SHARE * taken;
        return furtherLaunches.since(host.now() - window - given.tick()) + 2 <= most || (!stated && replaces);
    }

    public void probed(String id, Host.Ending ending, Host.LoadReport report) {
        Searcher searcher = searchers.get(id);
        if (searcher == null) {
            return;
        }
        searcher.probing = false;
        searcher.spoke(ending);
        searcher.heardReport(report);
        if (!(searcher.cleared = ending == Host.Ending.FULFILLED || ending == Host.Ending.REJECTED)) {
            searcher.failed(ending);
        }
    }

    final class Searcher extends SearcherState {
        double room = ROOM_FIRST, roomCutAt = Double.NEGATIVE_INFINITY;

        Searcher(String id) {
            super(id);
        }

        /** The design's score. Departures: R and q fade when old, and overdue silence counts in R. */
        double score(Part<Query, Searcher> part, int planned) {
            double now = host.now(), guess = FIRST_GUESS * part.query.grade.terms.latencyGoal();
            double heardOf = 0, meanR = 0, meanS = 0, meanQueue = 0;
            for (Searcher each : holders(part.shard)) {
                if (each.heard) {
                    heardOf++;
                    meanR += each.r;
                    meanS += each.s();
                    meanQueue += each.queue;
                }
            }
            meanR = heardOf == 0 ? guess : meanR / heardOf;
            meanS = heardOf == 0 ? guess : meanS / heardOf;
            meanQueue /= Math.max(1, heardOf);
            double s = heard ? s() : meanS;
            // Danger: a replica shunned after one heavy part gets no answers, so its bad R would never mend.
            double base = Math.max(meanR, host.othersPace(id)); // others only make it look worse
            double ownR = heard ? base + (r - base) * fresh() : base;
            // Danger: a hung searcher's good figures draw parts; its oldest launch's age is a lower bound.
            ownR = Math.max(ownR, out.isEmpty() ? 0 : now - out.iterator().next().sentAt);
            // Danger: one stale low report draws parts; once old it counts as no better than its neighbours'.
            double q = meanQueue + (queue - meanQueue) * Math.exp((reportAt - now) / (2 * meanR));
            q = Math.max(q, implied());
            double qHat = 1 + (out.size() + planned) * mixers + q * (1 + busyShare);
            return ownR - s + qHat * qHat * qHat * s + (near ? 0 : 1e-6);
        }

        /** How much own answers still count; with many mixers they come seldom and are kept longer. */
        double fresh() {
            double memory = FRESH * goal * Math.max(1, mixers / MIXERS_FEW);
            return Math.min(1, Math.exp(1 - (host.now() - answerAt) / memory));
        }

        /** The queue own answers told of beyond reports, as far as such queues were found again so late. */
        double implied() {
            return mixers < 2 * MIXERS_FEW ? 0
                : untold * fresh() * lasting.share(host.now() - toldAt) / drain();
        }

        double s() {
            return lowest.get() < Double.POSITIVE_INFINITY ? lowest.get() : FIRST_GUESS * goal;
        }

        /** Neither resting after failures nor overdue with a probe's answer or with all it was sent. */
        boolean sound() {
            if (failures > 0 || (probing && host.now() > askedAt + ASK_WAIT * goal)) {
                return failures > 0 && host.now() >= restUntil && out.isEmpty()
                    && (cleared || !given.mayProbe() || cold());
            }
            return !host.othersWarn(id, answerAt) && (out.isEmpty() || host.now()
                - Math.max(answerAt, out.iterator().next().sentAt) <= PATIENCE_MOST * goal);
        }

        /**
         * Whether so many parts more would wait shortly, by own room, a fresh report and own answers. Danger:
         * many mixers hear little, reports can be untrue; despite slow answers one part goes where one from
         * each mixer makes a short queue. Harm: one that recovered waits until they are old.
         */
        boolean hasRoom(int count) {
            double most = QUEUE_MOST * goal / drain();
            boolean none = out.size() + planned == 0;
            return (none || out.size() + planned + count <= room)
                && (host.now() - reportAt >= FRESH * goal || queue + sentSince + planned + count - 1 <= most)
                && (implied() <= most || (none && mixers <= most));
        }

        boolean cold() {
            return startedAt > 0 && host.now() < startedAt + given.rules().coldTime();
        }

        /** Rule 4: this mixer's share of what a cold searcher may be sent, over the window that counts. */
        boolean hasColdBudget(Query query, int count) {
            if (!cold()) {
                return true;
            }
            Host.RuleTerms rules = given.rules();
            double from = Math.max(startedAt, host.now() - rules.fallTime());
            double warmth = Math.min(1, (from - startedAt) / rules.coldTime());
            double capacity = rules.coldFrom() + (1 - rules.coldFrom()) * warmth;
            double spent = coldSpent.since(host.now() - rules.fallTime());
            // One core at least; more where warm searchers were seen to serve parts faster, or their queues
            // to drain faster. Danger: answers' times hold waits, and alone tell of far too few.
            double work = query.grade.meanWork(), seen = drainTimes.total() < ENOUGH ? 1 : work / drain();
            seen = Math.max(seen, servedRates.total() < ENOUGH ? 1 : servedRates.quantile(0.75) * work);
            double most = COLD_MARGIN * rules.overloadFactor() * capacity * Math.max(1, seen) / tier;
            if (most * rules.fallTime() >= (count + planned) * work) {
                return spent + (count + planned) * work <= most * rules.fallTime();
            }
            // Danger: with many mixers a share is under one part; a lot lets some in, by the share over the
            // parts that came for it, or their sum grows with the demand. Harm: seldom used by few mixers,
            // so one from each goes where all of them are half of what counts as chance over the budget.
            double calls = most * rules.fallTime() * tier / COLD_MARGIN / work, came = 1;
            for (int back = 0; back < given.reach(); back++) {
                came += offered(Math.floorMod(cell - back, given.cells()));
            }
            return spent == 0 && planned == 0 && out.isEmpty() && (count * tier < calls + Math.sqrt(calls) + 1
                || query.lot * came * work < most * Math.min(rules.coldTime(), host.now() - openedAt));
        }

        void heardReport(Host.LoadReport report) {
            if (report == null) {
                return;
            }
            queue = !Double.isNaN(report.pending()) ? report.pending()
                : !Double.isNaN(report.inFlight()) ? report.inFlight() : 0;
            busyShare = Double.isNaN(report.busyShare()) ? 0 : report.busyShare();
            reportAt = host.now();
            busy += BUSY_WEIGHT * ((queue * drain() > BUSY_QUEUE * goal ? BUSY_MOST : 0) - busy);
            sentSince = 0;
            if (report.servedRate() > 0 && !cold()) {
                servedRates.add(report.servedRate());
            }
        }

        void answered(Launch<Searcher> launch, double took, double told, double target) {
            answeredSentAt = Math.max(answeredSentAt, launch.sentAt);
            if (failures > 0 && unreached && given.rules().coldTime() > 0) {
                // Danger: one that answered, then out of reach, is cold before the list says so.
                startedAt = Math.max(startedAt, host.now());
            }
            failures = 0;
            unreached = cleared = false;
            spoke(Host.Ending.FULFILLED);
            answerAt = host.now();
            lowest.add(answerAt, took, REST_MOST * goal);
            measured(took, told, true);
            if (took <= target) {
                room += out.size() + 1 >= room / 2 ? 1 / room : 0;
            } else if (answerAt - roomCutAt > took) {
                room = Math.max(1, room * ROOM_CUT);
                roomCutAt = answerAt;
            }
        }

        /** Danger: full time-outs of one that was mute, not slow, kept it out long after it was back. */
        void measured(double took, double told, boolean tells) {
            double beyond = Math.max(0, took - told);
            if (tells) {
                lasting.add(host.now() - toldAt, untold, Math.min(beyond, 2 * untold));
                untold += NEWEST_WEIGHT * (beyond - untold);
                toldAt = host.now();
            }
            r = heard ? r + NEWEST_WEIGHT * (took - r) : took;
            heard = true;
        }

        /** Any failure, whatever its cause: rest, growing while failures go on, then one trial at a time. */
        void failed(Host.Ending ending) {
            if (failures == 0) {
                host.log(id + " rests, " + ending);
            } else if (host.now() < restUntil) {
                return;
            }
            restUntil = host.now() + Math.min(REST_MOST, REST * (1 << Math.min(failures, 6))) * goal;
            failures++;
            cleared = false;
            unreached |= ending == Host.Ending.NOT_CONNECTED && answerAt > Double.NEGATIVE_INFINITY;
        }
    }

    /** What differs by service grade. */
    private final class GradeRow {
        final Host.GradeTerms terms;
        final CoarseTimes answerTimes, runTimes;
        double longestTtl, deadlyUntil;

        GradeRow(Host.GradeTerms terms) {
            this.terms = terms;
            answerTimes = new CoarseTimes(3 * terms.latencyGoal(), 1.5, BINS, HALVED_AT);
            runTimes = new CoarseTimes(3 * terms.latencyGoal(), 1.5, BINS, HALVED_AT);
        }

        /** The share's quantile of answer times; the first guess until a few answers are in. */
        double answerTime(double share) {
            return answerTimes.total() < ENOUGH ? FIRST_GUESS * terms.latencyGoal()
                : answerTimes.quantile(share);
        }

        double meanWork() {
            return given.callWork() + (answerTimes.total() < ENOUGH ? answerTime(0.5) : answerTimes.mean());
        }

        /** What a query should take from its start; bounded, or a jam would keep all out for good. */
        double runTime() {
            return Math.min(RUN_MOST * terms.latencyGoal(), Math.max(answerTime(0.75),
                runTimes.total() < ENOUGH ? 0 : runTimes.quantile(RUN_QUANTILE)));
        }

        double patience() {
            return Math.max(PATIENCE_LEAST * terms.latencyGoal(),
                Math.min(PATIENCE_MOST * terms.latencyGoal(), PATIENCE_FACTOR * answerTime(0.95)));
        }
    }

    /** Rule 2: whether another launch could do no harm. Danger: the window runs from the first launch that
     *  might have run when one more was sent, also when that one proves later that it never ran. */
    private boolean mayRepeat(Part<Query, Searcher> part) {
        Host.GradeTerms terms = part.query.grade.terms;
        return terms.repeat() == Host.Repeat.IDEMPOTENT || part.launches.stream().allMatch(each ->
            (each.neverRan && !each.outAtNext) || (terms.repeat() == Host.Repeat.DEDUPLICATED
            && host.now() + 2 * given.tick() < each.sentAt + terms.repeatWindow()));
    }

    /** A query's handle: all that happens to it after it was taken is a call on this. */
    public final class Query {
        private final String id;
        private final GradeRow grade;
        private final double takenAt, goalAt, stopAt, startBy, lot = chance.nextDouble();
        private double startedAt = Double.NEGATIVE_INFINITY, weightIn, weightSpent, askAgainAt, worth;
        private final Map<String, Part<Query, Searcher>> parts = new LinkedHashMap<>();
        private int awaited, out, in, step = 1, crashes, spent;
        private final boolean later;
        private boolean ended, scouting;

        private Query(String id, GradeRow grade, double ttl, int parts, double workHint, boolean again) {
            this.id = id;
            this.grade = grade;
            awaited = parts;
            takenAt = host.now();
            stopAt = takenAt + ttl - 2 * given.tick();
            startBy = takenAt + START_MOST * ttl;
            // A later try's goal has begun before: what the hard stop lacks has passed. Unless marked, one is
            // told by less time than first tries have. Danger: a client in haste looks alike.
            grade.longestTtl = Math.max(grade.longestTtl, ttl);
            double hardStop = grade.terms.hardStop();
            later = given.marksRetries() ? again : ttl < grade.longestTtl - LATER_TRY * hardStop;
            goalAt = takenAt - (later ? hardStop - ttl : 0) + Math.min(hardStop, grade.terms.goal(workHint));
        }

        /** One of the query's parts; the last one awaited lets the query start. */
        public void part(String part, int shard, double weight) {
            if (parts.putIfAbsent(part, new Part<>(this, part, shard, weight)) != null) {
                return;
            }
            takes.add(host.now(), 1);
            offered(Math.floorMod(shard, given.cells()));
            offers.get(Math.floorMod(shard, given.cells())).add(host.now(), 1);
            if (--awaited == 0 && !ended) {
                held.add(this);
            }
        }

        /** How one launch ended; parts of an ended query still tell about their searcher. */
        public void settled(String part, int number, Host.Ending ending, double took,
                            Host.LoadReport report) {
            Part<Query, Searcher> mine = parts.get(part);
            Launch<Searcher> launch = mine == null ? null : mine.launch(number);
            if (launch == null || launch.over) {
                return;
            }
            launch.over = true;
            launch.neverRan = ending.neverRan();
            mine.out--;
            out--;
            Searcher searcher = launch.searcher;
            // Danger: after this mixer itself stood still (a gap between batches) every answer looks slow.
            double gap = host.now() - lastBatchAt;
            took = gap > STALL * SWEEP * goal ? Math.max(Math.min(took, searcher.s()), took - gap) : took;
            searcher.out.remove(launch);
            searcher.heardReport(report);
            double told = Math.max(grade.answerTime(0.5), drain() * (1 + launch.ahead));
            switch (ending) {
                case FULFILLED -> {
                    if (launch.ahead >= 2) {
                        drainTimes.add(took / (1 + launch.ahead));
                    }
                    // Prompt is never less than bare work takes, or all would look jammed.
                    searcher.answered(launch, took, told, Math.max(ANSWER_TARGET * grade.terms.latencyGoal(),
                        BARE_FACTOR * grade.answerTime(0.1)));
                    grade.answerTimes.add(took);
                    if (!mine.done && !ended) {
                        mine.done = true;
                        in++;
                        weightIn += mine.weight;
                        if (scouting) {
                            scouted();
                        }
                        if (in == parts.size() || (step == 1 && weightIn >= grade.terms.wholeFrom())) {
                            finish(true);
                        } else if (in + spent == parts.size()) {
                            lost();
                        }
                    }
                }
                case MOOT -> { } // Never sent, so it says nothing of the searcher.
                default -> {
                    boolean waited = ending == Host.Ending.TIMED_OUT || ending == Host.Ending.CANCELLED;
                    // The design counts the full time-out; an early failure would make failing look fast.
                    double shown = ending == Host.Ending.CANCELLED ? searcher.r : usefulEnd() - launch.sentAt;
                    searcher.mute |= ending == Host.Ending.NOT_CONNECTED;
                    searcher.measured(Math.max(took, shown), told, waited && !searcher.mute);
                    // Danger: a part lost while its searcher answers later ones must not rest it. But a
                    // cancelled one counts, or a hung searcher looks fit where copies may not overlap.
                    if (!waited || searcher.answeredSentAt <= launch.sentAt) {
                        searcher.failed(ending);
                    }
                    if (ending == Host.Ending.DROPPED) {
                        crashes++;
                        crashedAt = host.now();
                    }
                }
            }
            host.saw(searcher.id, searcher.r, searcher.queue, searcher.failures);
            if (!ended && in == 0 && crashes >= (host.now() < grade.deadlyUntil ? 1 : DEADLY)) {
                // Danger: a query that brings down each searcher that begins it takes one more each launch.
                // Covers all that ends connections under work. Harm: one caught in two others' crashes.
                grade.deadlyUntil = host.now() + given.rules().coldTime();
                lost();
            } else if (!ended && !mine.done) {
                tend(mine, overdueParts());
            }
        }

        /** The client has left the query; a part that is gone takes the whole answer with it. */
        public void withdrawn(String gone) {
            if (!gone.equals(id)) {
                lost();
            }
            end();
        }

        public boolean over() {
            return ended && out == 0; // nothing more can be told of it
        }

        private boolean started() {
            return startedAt > Double.NEGATIVE_INFINITY;
        }

        /** The weight that an answer may lack, with what rounding takes. */
        private double mayMiss() {
            return 1 - grade.terms.leastShare() + TRIFLE;
        }

        /** Whether enough parts have a holder that may take one now; of a started query any will do. */
        private boolean startable() {
            double missing = 0;
            for (Part<Query, Searcher> part : parts.values()) {
                if (part.launches.isEmpty() && !part.done) {
                    boolean fit = anyFit(part);
                    if (started() && fit) {
                        return true;
                    }
                    missing += fit ? 0 : part.weight;
                }
            }
            return !started() && missing <= START_LACKS * mayMiss();
        }

        /**
         * Whether one part goes first and the rest wait for its answer; where only width asks for it, no
         * longer than until it is overdue. Danger: some queries bring down every searcher that begins them,
         * and a wide one takes half of the fleet along at once; so the widest, clients' later tries, and all
         * after a crash. Harm: an answer's time later, more if it goes to a mute searcher after a crash.
         */
        private boolean scouts() {
            boolean alarm = host.now() < crashedAt + given.rules().coldTime();
            boolean wide = parts.size() > Math.max(ENOUGH, WIDE * ready);
            return in == 0 && parts.size() > 1 && step == 1
                && (alarm || later || (wide && overdueParts() == 0));
        }

        private void scouted() {
            scouting = false;
            held.add(this);
        }

        /** No launch of this part is left: the query goes on while the others can make an answer. */
        private void spent(Part<Query, Searcher> part) {
            part.spent = true;
            spent++;
            weightSpent += part.weight;
            if (weightSpent > mayMiss() || in + spent == parts.size()) {
                lost();
            }
        }

        /** Just before the goal. Danger: given at the goal, a partial answer comes to its client after it. */
        private double partlyAt() {
            return goalAt - 4 * given.tick();
        }

        private double usefulEnd() {
            return grade.terms.lateValue() > 0 || mayAnswerPartly() ? stopAt : Math.min(goalAt, stopAt);
        }

        private long overdueParts() {
            return parts.values().stream().filter(part ->
                part.out > 0 && !part.done && host.now() >= part.latest().overdueAt).count();
        }

        private boolean mayAnswerPartly() {
            Host.GradeTerms terms = grade.terms;
            return terms.secondStep() == 0 && terms.leastShare() < terms.wholeFrom()
                && weightIn >= terms.leastShare() && terms.partValue() > terms.lateValue();
        }

        private void finish(boolean whole) {
            host.assemble(id, whole);
            grade.runTimes.add(host.now() - startedAt);
            if (grade.terms.secondStep() > 0 && step == 1) {
                step = 2;
                awaited = Math.min(grade.terms.secondStep(), in);
                startedAt = Double.NEGATIVE_INFINITY;
            } else {
                end();
            }
        }

        /** Nothing can fulfil this query any more: it gets its final answer at once. */
        private void lost() {
            if (!ended && mayAnswerPartly()) {
                finish(false);
            }
            if (ended) {
                return;
            }
            boolean harmless = grade.terms.repeat() == Host.Repeat.IDEMPOTENT || parts.values().stream()
                .allMatch(part -> part.launches.stream().allMatch(launch -> launch.neverRan));
            if (harmless) {
                host.decline(id, given.mayAdvise() ? advice() : 0);
            } else {
                host.giveUp(id);
            }
            end();
        }

        private double advice() {
            return Math.min(given.longestAdvice(), REST * goal);
        }

        private void end() {
            ended = true;
            live.remove(this);
            held.remove(this);
        }
    }
}
