package pinewick.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Probes members in turn, directly and through others, suspects the silent, and declares suspects dead in time. */
final class FailureDetector {
    /** Further probes in a turn after others found members silent. */
    private static final int MORE_PROBES = 3;
    /** Suspects that are probed once more shortly before their end, in each gossip interval. */
    private static final int LAST_PROBES = 12;
    /** Members that probe one such suspect in a gossip interval. */
    private static final int LAST_PROBERS = 20;
    /** Gossip intervals before a suspect's end in which that is done. */
    private static final int LAST_INTERVALS = 3;

    private final MemberTable table;
    private final DatagramSender sender;
    private final MembershipSettings terms;
    private final MembershipView.News news;
    private final SplittableRandom random;
    private final ProbeSchedule turns;
    private final Suspicion suspicion;
    private final LocalHealth health;
    private final Map<Integer, Probe> probes = new HashMap<>();
    /** By the number of this router's own ping. */
    private final Map<Integer, IndirectProbe> indirectProbes = new TreeMap<>();

    private int numbers;
    /** Probes since the last turn that found a member silent. */
    private int silences;

    private long lastTurn = Long.MIN_VALUE;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private double lastProbesAt = Double.NEGATIVE_INFINITY;
    private long suspicions;
    private long deaths;

    FailureDetector(
            MemberTable table,
            DatagramSender sender,
            MembershipSettings terms,
            MembershipView.News news,
            SplittableRandom random) {
        this.table = table;
        this.sender = sender;
        this.terms = terms;
        this.news = news;
        this.random = random;
        turns = new ProbeSchedule(terms.period());
        suspicion = new Suspicion(terms);
        health = new LocalHealth(terms.period());
    }

    /** Begins to watch the clock. */
    void start(double now) {
        health.look(now);
    }

    /** Forgets all probes that are under way. */
    void clear() {
        probes.clear();
        indirectProbes.clear();
    }

    /** The regular look: whether this router itself paused, the probe whose turn it is, probes and suspects. */
    void tick(double now) {
        if (health.look(now) > 0) {
            clear(); // What was missed during a pause would look like the others' silence.
        }
        long turn = turns.turn(now);
        if (turn > lastTurn && now >= turns.at(turn, table.self(), table.size())) {
            lastTurn = turn;
            takeTurn(now, turn);
        }
        checkProbes(now);
        checkSuspects(now);
        reportSilence(now);
    }

    /**
     * Where most of a fleet dies at once, those left would probe one member each a turn, and mostly dead ones; so each
     * silence found brings one probe more. Cost: up to four times the probes for that time.
     */
    private void takeTurn(double now, long turn) {
        int more = Math.min(MORE_PROBES, silences);
        silences = 0;
        for (int each = 0; each <= more; each++) {
            probe(now, turns.target(turn * (MORE_PROBES + 1) + each, table.self(), table.all()));
        }
        pingOneGone();
    }

    private void probe(double now, int target) {
        if (target >= 0) {
            Probe probe = new Probe(target, ++numbers, now, terms, health.stretch());
            probes.put(probe.number, probe);
            sender.send(target, Datagram.Kind.PING, probe.number, target);
        }
    }

    /** A ping that nothing follows from. */
    private void ping(int place) {
        sender.send(place, Datagram.Kind.PING, ++numbers, place);
    }

    /**
     * Pings one that does not take part: two parts of a fleet that took each other for dead would otherwise never meet
     * again. Cost: a datagram a period while anyone is gone.
     */
    private void pingOneGone() {
        int gone = table.anyOther(false);
        if (gone >= 0) {
            ping(gone);
        }
    }

    private void checkProbes(double now) {
        for (Probe probe : List.copyOf(probes.values())) {
            switch (probe.due(now)) {
                case PING_AGAIN -> sender.send(probe.target, Datagram.Kind.PING, probe.number, probe.target);
                case ASK_OTHERS -> {
                    for (int helper : table.someTakingPart(terms.helpers(), probe.target)) {
                        sender.send(helper, Datagram.Kind.LOOK, probe.number, probe.target);
                    }
                }
                case SILENT -> foundSilent(now, probe);
                default -> {
                    // Not yet.
                }
            }
        }
    }

    private void foundSilent(double now, Probe probe) {
        probes.remove(probe.number);
        silences++;
        // With not a word from anybody meanwhile, the own links are to blame. (Lifeguard counts each helper that said
        // nothing; where most of a fleet dies at once, the helpers are dead too.)
        if (heardAt <= probe.since) {
            health.worse();
        }
        if (!health.stoodStill(now)) {
            suspect(now, table.get(probe.target), probe);
        }
    }

    /** Suspects a member, on this router's word and on that of those that probed it in vain over other links. */
    private void suspect(double now, Member member, Probe probe) {
        if (member.heardAt > probe.since || !member.standing.takesPart()) {
            return; // Heard of meanwhile, or known as gone already.
        }
        MemberState was = member.standing;
        table.update(now, member, MemberState.SUSPECT, member.incarnation);
        accused(member, probe.since, table.self());
        for (int helper : probe.lookedInVain) {
            accused(member, probe.since, helper);
        }
        if (was != MemberState.SUSPECT) {
            suspicions++;
            news.changed(member.place, was, MemberState.SUSPECT);
        }
        ping(member.place); // It hears of it first, so that it can object in time.
    }

    /** These members noticed that a suspect has been silent since then. */
    void accused(Member suspect, double since, int... accusers) {
        int most = suspicion.accusersMost(table.live());
        boolean more = false;
        for (int each : accusers) {
            more |= suspect.accused(since, each, most);
        }
        if (more) {
            sender.spread(suspect);
        }
    }

    /**
     * Declares those dead whose time is over. Shortly before, some of those that still suspect one probe it: a suspect
     * that objected in vain, as its word was lost on the way, answers. Accusers probe all the time. Some suspects a
     * time at most, from another place on each time, so that a mass of dead ones makes no flood.
     */
    private void checkSuspects(double now) {
        boolean due = now - lastProbesAt >= terms.gossip();
        lastProbesAt = due ? now : lastProbesAt;
        int left = due ? LAST_PROBES : 0;
        int first = due ? random.nextInt(table.size()) : 0;
        for (int each = 0; table.suspects() > 0 && each < table.size(); each++) {
            Member member = table.get((first + each) % table.size());
            if (member.standing != MemberState.SUSPECT) {
                continue;
            }
            double time = suspicion.left(now, member, table.live());
            if (time <= 0 && !health.stoodStill(now)) {
                declareDead(now, member);
            } else if (left > 0 && (accusedHere(member) || lastProbeHere(time))) {
                left--;
                ping(member.place);
            }
        }
    }

    private void declareDead(double now, Member member) {
        table.update(now, member, MemberState.DEAD, member.incarnation);
        deaths++;
        sender.spread(member);
        news.changed(member.place, MemberState.SUSPECT, MemberState.DEAD);
    }

    private boolean lastProbeHere(double timeLeft) {
        return timeLeft <= LAST_INTERVALS * terms.gossip() && random.nextInt(table.live()) < LAST_PROBERS;
    }

    private boolean accusedHere(Member suspect) {
        for (int each : suspect.accusers) {
            if (each == table.self()) {
                return true;
            }
        }
        return false;
    }

    /** Tells those that asked for indirect probes that no answer came so far: so they know their own links are well. */
    private void reportSilence(double now) {
        Iterator<IndirectProbe> all = indirectProbes.values().iterator();
        while (all.hasNext()) {
            IndirectProbe probe = all.next();
            if (probe.over(now)) {
                all.remove();
            } else if (probe.reportDue(now)) {
                sender.send(probe.requester, Datagram.Kind.NOT_SEEN, probe.requesterNumber, table.self());
            }
        }
    }

    /** A datagram of some member came. */
    void heard(double now) {
        heardAt = now;
    }

    /** A member answered a ping. Returns whether that ended a probe of it. */
    boolean answered(int number, Member member) {
        Probe probe = probes.get(number);
        if (probe == null || probe.target != member.place) {
            return false;
        }
        probes.remove(number);
        health.better();
        return true;
    }

    /** A member answered a ping: who asked for an indirect probe of it is told. */
    void answeredIndirectly(int number, Member member) {
        IndirectProbe probe = indirectProbes.remove(number);
        if (probe != null) {
            sender.send(probe.requester, Datagram.Kind.SEEN, probe.requesterNumber, member.place);
        }
    }

    /** A member asks for an indirect probe of another one. */
    void probeRequested(double now, Member requester, int number, int place) {
        if (place < table.size() && place != table.self()) {
            indirectProbes.put(++numbers, new IndirectProbe(requester.place, number, now, terms));
            sender.send(place, Datagram.Kind.PING, numbers, place);
        }
    }

    /** An indirect probe found that the member lives. */
    void seenByOther(double now, int number) {
        Probe probe = probes.remove(number);
        if (probe != null) {
            health.better();
            table.get(probe.target).heardAt = now;
        }
    }

    /** An indirect probe got no answer so far. */
    void notSeenByOther(int number, Member helper) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.lookedInVain.add(helper.place);
        }
    }

    /** This router is itself suspected or held for dead. */
    void selfAccused() {
        health.worse();
    }

    int healthScore() {
        return health.score();
    }

    long suspicions() {
        return suspicions;
    }

    /** Deaths that this router declared itself. */
    long deaths() {
        return deaths;
    }
}
