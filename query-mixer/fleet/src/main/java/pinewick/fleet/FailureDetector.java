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
    private static final int MAX_EXTRA_PROBES = 3;
    /** Suspects that are probed once more shortly before their end, in each gossip interval. */
    private static final int MAX_FINAL_PROBES = 12;
    /** Members that probe one such suspect in a gossip interval. */
    private static final int FINAL_PROBERS = 20;
    /** Gossip intervals before a suspect's end in which that is done. */
    private static final int FINAL_PROBE_INTERVALS = 3;

    private final MemberTable table;
    private final DatagramSender sender;
    private final MembershipSettings settings;
    private final MembershipView.Listener listener;
    private final SplittableRandom random;
    private final ProbeSchedule schedule;
    private final Suspicion suspicion;
    private final LocalHealth health;
    private final Map<Integer, Probe> probes = new HashMap<>();
    /** By the number of this router's own ping. */
    private final Map<Integer, IndirectProbe> indirectProbes = new TreeMap<>();

    private int lastNumber;
    /** Probes since the last turn that found a member silent. */
    private int failedProbes;

    private long lastRound = Long.MIN_VALUE;
    private double lastHeardAt = Double.NEGATIVE_INFINITY;
    private double lastFinalProbesAt = Double.NEGATIVE_INFINITY;
    private long suspicions;
    private long deaths;

    FailureDetector(
            MemberTable table,
            DatagramSender sender,
            MembershipSettings settings,
            MembershipView.Listener listener,
            SplittableRandom random) {
        this.table = table;
        this.sender = sender;
        this.settings = settings;
        this.listener = listener;
        this.random = random;
        schedule = new ProbeSchedule(settings.probeIntervalSeconds());
        suspicion = new Suspicion(settings);
        health = new LocalHealth(settings.probeIntervalSeconds());
    }

    /** Begins to watch the clock. */
    void start(double now) {
        health.checkForPause(now);
    }

    /** Forgets all probes that are under way. */
    void clear() {
        probes.clear();
        indirectProbes.clear();
    }

    /** The regular look: whether this router itself paused, the probe whose turn it is, probes and suspects. */
    void tick(double now) {
        if (health.checkForPause(now) > 0) {
            clear(); // What was missed during a pause would look like the others' silence.
        }
        long round = schedule.round(now);
        if (round > lastRound && now >= schedule.probeTime(round, table.self(), table.size())) {
            lastRound = round;
            runProbeRound(now, round);
        }
        advanceProbes(now);
        checkSuspects(now);
        sendNacks(now);
    }

    /**
     * Where most of a fleet dies at once, those left would probe one member each a turn, and mostly dead ones; so each
     * silence found brings one probe more. Cost: up to four times the probes for that time.
     */
    private void runProbeRound(double now, long round) {
        int extraProbes = Math.min(MAX_EXTRA_PROBES, failedProbes);
        failedProbes = 0;
        for (int each = 0; each <= extraProbes; each++) {
            probe(now, schedule.target(round * (MAX_EXTRA_PROBES + 1) + each, table.self(), table.all()));
        }
        pingOneInactive();
    }

    private void probe(double now, int target) {
        if (target >= 0) {
            Probe probe = new Probe(target, ++lastNumber, now, settings, health.timeoutMultiplier());
            probes.put(probe.number, probe);
            sender.send(target, Datagram.Kind.PING, probe.number, target);
        }
    }

    /** A ping that nothing follows from. */
    private void ping(int index) {
        sender.send(index, Datagram.Kind.PING, ++lastNumber, index);
    }

    /**
     * Pings one that does not take part: two parts of a fleet that took each other for dead would otherwise never meet
     * again. Cost: a datagram a period while anyone is gone.
     */
    private void pingOneInactive() {
        int inactive = table.randomOtherIndex(false);
        if (inactive >= 0) {
            ping(inactive);
        }
    }

    private void advanceProbes(double now) {
        for (Probe probe : List.copyOf(probes.values())) {
            switch (probe.nextAction(now)) {
                case RETRY_PING -> sender.send(probe.target, Datagram.Kind.PING, probe.number, probe.target);
                case PING_REQUEST -> {
                    for (int helper : table.randomActiveIndexes(settings.indirectProbers(), probe.target)) {
                        sender.send(helper, Datagram.Kind.PING_REQUEST, probe.number, probe.target);
                    }
                }
                case TIMED_OUT -> onProbeTimeout(now, probe);
                default -> {
                    // Not yet.
                }
            }
        }
    }

    private void onProbeTimeout(double now, Probe probe) {
        probes.remove(probe.number);
        failedProbes++;
        // With not a word from anybody meanwhile, the own links are to blame. (Lifeguard counts each helper that said
        // nothing; where most of a fleet dies at once, the helpers are dead too.)
        if (lastHeardAt <= probe.startedAt) {
            health.degrade();
        }
        if (!health.wasRecentlyPaused(now)) {
            suspect(now, table.get(probe.target), probe);
        }
    }

    /** Suspects a member, on this router's word and on that of those that probed it in vain over other links. */
    private void suspect(double now, Member member, Probe probe) {
        if (member.lastHeardAt > probe.startedAt || !member.state.isActive()) {
            return; // Heard of meanwhile, or known as gone already.
        }
        MemberState previousState = member.state;
        table.update(now, member, MemberState.SUSPECT, member.incarnation);
        addAccusers(member, probe.startedAt, table.self());
        for (int helper : probe.failedHelpers) {
            addAccusers(member, probe.startedAt, helper);
        }
        if (previousState != MemberState.SUSPECT) {
            suspicions++;
            listener.onStateChanged(member.index, previousState, MemberState.SUSPECT);
        }
        ping(member.index); // It hears of it first, so that it can object in time.
    }

    /** These members noticed that a suspect has been silent since then. */
    void addAccusers(Member suspect, double since, int... accusers) {
        int maxAccusers = suspicion.maxAccusers(table.liveCount());
        boolean added = false;
        for (int each : accusers) {
            added |= suspect.addAccuser(since, each, maxAccusers);
        }
        if (added) {
            sender.enqueueGossip(suspect);
        }
    }

    /**
     * Declares those dead whose time is over. Shortly before, some of those that still suspect one probe it: a suspect
     * that objected in vain, as its word was lost on the way, answers. Accusers probe all the time. Some suspects a
     * time at most, from another place on each time, so that a mass of dead ones makes no flood.
     */
    private void checkSuspects(double now) {
        boolean isDue = now - lastFinalProbesAt >= settings.gossipIntervalSeconds();
        lastFinalProbesAt = isDue ? now : lastFinalProbesAt;
        int remaining = isDue ? MAX_FINAL_PROBES : 0;
        int first = isDue ? random.nextInt(table.size()) : 0;
        for (int each = 0; table.suspectCount() > 0 && each < table.size(); each++) {
            Member member = table.get((first + each) % table.size());
            if (member.state != MemberState.SUSPECT) {
                continue;
            }
            double timeLeft = suspicion.remainingSeconds(now, member, table.liveCount());
            if (timeLeft <= 0 && !health.wasRecentlyPaused(now)) {
                declareDead(now, member);
            } else if (remaining > 0 && (isAccusedBySelf(member) || shouldProbeBeforeDeath(timeLeft))) {
                remaining--;
                ping(member.index);
            }
        }
    }

    private void declareDead(double now, Member member) {
        table.update(now, member, MemberState.DEAD, member.incarnation);
        deaths++;
        sender.enqueueGossip(member);
        listener.onStateChanged(member.index, MemberState.SUSPECT, MemberState.DEAD);
    }

    private boolean shouldProbeBeforeDeath(double timeLeft) {
        return timeLeft <= FINAL_PROBE_INTERVALS * settings.gossipIntervalSeconds()
                && random.nextInt(table.liveCount()) < FINAL_PROBERS;
    }

    private boolean isAccusedBySelf(Member suspect) {
        for (int each : suspect.accusers) {
            if (each == table.self()) {
                return true;
            }
        }
        return false;
    }

    /** Tells those that asked for indirect probes that no answer came so far: so they know their own links are well. */
    private void sendNacks(double now) {
        Iterator<IndirectProbe> all = indirectProbes.values().iterator();
        while (all.hasNext()) {
            IndirectProbe probe = all.next();
            if (probe.isExpired(now)) {
                all.remove();
            } else if (probe.takeNackDue(now)) {
                sender.send(probe.requester, Datagram.Kind.INDIRECT_NACK, probe.requesterNumber, table.self());
            }
        }
    }

    /** A datagram of some member came. */
    void onDatagram(double now) {
        lastHeardAt = now;
    }

    /** A member answered a ping. Returns whether that ended a probe of it. */
    boolean onAck(int number, Member member) {
        Probe probe = probes.get(number);
        if (probe == null || probe.target != member.index) {
            return false;
        }
        probes.remove(number);
        health.improve();
        return true;
    }

    /** A member answered a ping: who asked for an indirect probe of it is told. */
    void onIndirectProbeAck(int number, Member member) {
        IndirectProbe probe = indirectProbes.remove(number);
        if (probe != null) {
            sender.send(probe.requester, Datagram.Kind.INDIRECT_ACK, probe.requesterNumber, member.index);
        }
    }

    /** A member asks for an indirect probe of another one. */
    void onPingRequest(double now, Member requester, int number, int index) {
        if (index < table.size() && index != table.self()) {
            indirectProbes.put(++lastNumber, new IndirectProbe(requester.index, number, now, settings));
            sender.send(index, Datagram.Kind.PING, lastNumber, index);
        }
    }

    /** An indirect probe found that the member lives. */
    void onIndirectAck(double now, int number) {
        Probe probe = probes.remove(number);
        if (probe != null) {
            health.improve();
            table.get(probe.target).lastHeardAt = now;
        }
    }

    /** An indirect probe got no answer so far. */
    void onIndirectNack(int number, Member helper) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.failedHelpers.add(helper.index);
        }
    }

    /** This router is itself suspected or held for dead. */
    void onSelfAccused() {
        health.degrade();
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
