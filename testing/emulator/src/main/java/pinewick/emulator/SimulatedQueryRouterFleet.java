package pinewick.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;

/**
 * Simulates the membership views of query routers: a complete fleet in virtual time, over links whose faults the caller
 * controls. Times are in seconds.
 */
public final class SimulatedQueryRouterFleet {
    private static final double TICK_SECONDS = 0.05;

    private final SimulatedDatagrams datagrams;
    private final MembershipView[] views;
    private final List<String> deaths = new ArrayList<>();
    private final SplittableRandom random;
    private final MembershipSettings settings;
    private final boolean hasBroadcast;

    public SimulatedQueryRouterFleet(int size, long seed) {
        this(size, seed, MembershipSettings.defaults(), true);
    }

    /** @param hasBroadcast whether a member can broadcast a datagram to all others */
    public SimulatedQueryRouterFleet(int size, long seed, MembershipSettings settings, boolean hasBroadcast) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        this.hasBroadcast = hasBroadcast;
        datagrams = new SimulatedDatagrams(size, TICK_SECONDS, random.split(), 1000);
        views = new MembershipView[size];
    }

    public SimulatedDatagrams datagrams() {
        return datagrams;
    }

    public int size() {
        return views.length;
    }

    public MembershipView view(int member) {
        return views[member];
    }

    /** Each transition to DEAD in the view of a member: the dead member, "by", and the member that has the view. */
    public List<String> deaths() {
        return deaths;
    }

    public SimulatedQueryRouterFleet startAll() {
        for (int member = 0; member < views.length; member++) {
            start(member);
        }
        return this;
    }

    public void start(int member) {
        startWithIncarnation(member, Math.round(datagrams.now() * 1000));
    }

    /** Starts a member with this incarnation. */
    public void startWithIncarnation(int member, long incarnation) {
        MembershipView view = new MembershipView(
                views.length,
                member,
                incarnation,
                settings,
                random.split(),
                new MembershipView.Transport() {
                    @Override
                    public void send(int to, byte[] datagram) {
                        datagrams.send(member, to, datagram);
                    }

                    @Override
                    public boolean broadcast(byte[] datagram) {
                        if (hasBroadcast) {
                            datagrams.sendAll(member, datagram);
                        }
                        return hasBroadcast;
                    }
                },
                (other, before, after) -> {
                    if (after == MemberState.DEAD) {
                        deaths.add(other + " by " + member);
                    }
                });
        views[member] = view;
        datagrams.start(member, new SimulatedDatagrams.Program() {
            @Override
            public void tick(double now) {
                view.tick(now);
            }

            @Override
            public void datagram(double now, int from, byte[] bytes) {
                view.onDatagram(now, from, bytes, bytes.length);
            }
        });
        view.start(datagrams.now());
    }

    public long sent() {
        long sent = 0;
        for (MembershipView view : views) {
            sent += view.sent();
        }
        return sent;
    }

    public long sentBytes() {
        long bytes = 0;
        for (MembershipView view : views) {
            bytes += view.sentBytes();
        }
        return bytes;
    }

    /** Whether this member considers exactly the running members active, with their current incarnations. */
    public boolean hasCorrectView(int member) {
        for (int other = 0; other < views.length; other++) {
            if (views[member].state(other).isActive() != datagrams.isRunning(other)
                    || (datagrams.isRunning(other)
                            && views[member].incarnation(other) != views[other].incarnation(other))) {
                return false;
            }
        }
        return true;
    }

    private boolean isConverged() {
        for (int member = 0; member < views.length; member++) {
            if (datagrams.isRunning(member) && !hasCorrectView(member)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Runs until the views of all running members are correct; returns the seconds it took, or NaN after the timeout.
     */
    public double secondsToConverge(double timeout) {
        return runUntil(timeout, this::isConverged);
    }

    /**
     * As {@link #secondsToConverge}, but per running member: after how many seconds its view became correct and stayed
     * so; NaN if it is not correct at the timeout.
     */
    public double[] secondsToConvergePerMember(double timeout) {
        double start = datagrams.now();
        double[] correctSince = new double[views.length];
        java.util.Arrays.fill(correctSince, Double.NaN);
        boolean allCorrect = false;
        while (!allCorrect && datagrams.now() - start <= timeout) {
            allCorrect = true;
            for (int member = 0; member < views.length; member++) {
                if (datagrams.isRunning(member)) {
                    boolean isCorrect = hasCorrectView(member);
                    correctSince[member] = !isCorrect
                            ? Double.NaN
                            : Double.isNaN(correctSince[member]) ? datagrams.now() - start : correctSince[member];
                    allCorrect &= isCorrect;
                }
            }
            datagrams.run(datagrams.now() + TICK_SECONDS);
        }
        return java.util.stream.IntStream.range(0, views.length)
                .filter(datagrams::isRunning)
                .mapToDouble(member -> correctSince[member])
                .toArray();
    }

    private double runUntil(double timeout, BooleanSupplier condition) {
        double start = datagrams.now();
        while (!condition.getAsBoolean()) {
            if (datagrams.now() - start > timeout) {
                return Double.NaN;
            }
            datagrams.run(datagrams.now() + TICK_SECONDS);
        }
        return datagrams.now() - start;
    }
}
