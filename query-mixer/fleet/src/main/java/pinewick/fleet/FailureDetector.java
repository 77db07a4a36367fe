package pinewick.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Failure detector: probes members directly and indirectly, suspects those that do not answer, and declares
 * suspects dead after a timeout.
 */
final class FailureDetector {
    /** Maximum number of additional probes in a round after failed probes. */
    private static final int MAX_EXTRA_PROBES = 3;
    /** Maximum number of suspects that are probed again before their timeout, per gossip interval. */
    private static final int MAX_FINAL_PROBES = 12;
    /** Expected number of members that probe such a suspect in a gossip interval. */
    private static final int FINAL_PROBERS = 20;
    /** Number of gossip intervals before the timeout of a suspect in which it is probed again. */
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
    /** Number of failed probes since the last round. */
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

    /** Starts the check for pauses of this router. */
    void start(double now) {
        health.checkForPause(now);
    }

    /** Discards all running probes. */
    void clear() {
        probes.clear();
        indirectProbes.clear();
    }

    /**
     * Checks whether this router itself was paused, starts the probe of this round when due, and advances probes
     * and suspects.
     */
    void tick(double now) {
        if (health.checkForPause(now) > 0) {
            clear(); // Datagrams missed during a pause would look like silence of the others.
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
     * Starts the probes of a round. If most of a fleet dies at once, each survivor would probe one member per
     * round, most of them dead; so each failed probe adds one more probe to the next round. Cost: up to four times
     * the probes during that time.
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

    /** Sends a ping whose answer is not tracked. */
    private void ping(int index) {
        sender.send(index, Datagram.Kind.PING, ++lastNumber, index);
    }

    /**
     * Pings one member that is dead, left or unheard: two sides of a partition that declared each other dead would
     * otherwise never find each other again. Cost: one datagram per probe interval while any member is inactive.
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
                    // Nothing is due.
                }
            }
        }
    }

    private void onProbeTimeout(double now, Probe probe) {
        probes.remove(probe.number);
        failedProbes++;
        // If no datagram arrived from any member meanwhile, this router's own links are to blame. (Lifeguard
        // counts each helper without a nack; if most of a fleet dies at once, the helpers are dead too.)
        if (lastHeardAt <= probe.startedAt) {
            health.degrade();
        }
        if (!health.wasRecentlyPaused(now)) {
            suspect(now, table.get(probe.target), probe);
        }
    }

    /** Suspects a member, on the evidence of this router and of the helpers that probed it without an answer. */
    private void suspect(double now, Member member, Probe probe) {
        if (member.lastHeardAt > probe.startedAt || !member.state.isActive()) {
            return; // Heard from meanwhile, or known to be inactive.
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
        ping(member.index); // The ping tells the suspect first, so that it can refute in time.
    }

    /** Adds members that noticed the silence of a suspect since a time. */
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
     * Declares suspects dead whose timeout has passed. Shortly before, some of the members that still suspect one
     * probe it: a suspect whose refutation was lost on the way can then answer. Accusers probe it all the time.
     * The number of suspects probed at a time is limited and starts at a random index, so that many dead members
     * at once do not cause a flood of probes.
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

    /**
     * Sends a negative acknowledgement to requesters of indirect probes that had no response yet, so that they know
     * that their own links work.
     */
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

    /** Records that a datagram from any member arrived. */
    void onDatagram(double now) {
        lastHeardAt = now;
    }

    /** Handles the answer to a ping. Returns whether it completed a probe of that member. */
    boolean onAck(int number, Member member) {
        Probe probe = probes.get(number);
        if (probe == null || probe.target != member.index) {
            return false;
        }
        probes.remove(number);
        health.improve();
        return true;
    }

    /** Forwards the answer to a ping to the member that requested the indirect probe. */
    void onIndirectProbeAck(int number, Member member) {
        IndirectProbe probe = indirectProbes.remove(number);
        if (probe != null) {
            sender.send(probe.requester, Datagram.Kind.INDIRECT_ACK, probe.requesterNumber, member.index);
        }
    }

    /** Handles the request for an indirect probe of another member. */
    void onPingRequest(double now, Member requester, int number, int index) {
        if (index < table.size() && index != table.self()) {
            indirectProbes.put(++lastNumber, new IndirectProbe(requester.index, number, now, settings));
            sender.send(index, Datagram.Kind.PING, lastNumber, index);
        }
    }

    /** Handles the result that an indirect probe was answered. */
    void onIndirectAck(double now, int number) {
        Probe probe = probes.remove(number);
        if (probe != null) {
            health.improve();
            table.get(probe.target).lastHeardAt = now;
        }
    }

    /** Handles the result that an indirect probe was not answered so far. */
    void onIndirectNack(int number, Member helper) {
        Probe probe = probes.get(number);
        if (probe != null) {
            probe.failedHelpers.add(helper.index);
        }
    }

    /** Lowers the local health because this router is itself suspected or declared dead. */
    void onSelfAccused() {
        health.degrade();
    }

    int healthScore() {
        return health.score();
    }

    long suspicions() {
        return suspicions;
    }

    /** Number of deaths that this router declared itself. */
    long deaths() {
        return deaths;
    }
}
